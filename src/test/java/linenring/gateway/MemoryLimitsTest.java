package linenring.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import linenring.gateway.settings.GatewaySettings;
import org.junit.jupiter.api.Test;

/** Tests the limits on memory: they follow the settings where the heap is large enough, and the heap where it is not. */
class MemoryLimitsTest {
    private static final long MIB = 1 << 20;

    @Test
    void keepsLimitsOfSettingsThatFitIntoHeap() {
        GatewaySettings settings = GatewayFixture.settings("body in-all=\"64MiB\"");
        MemoryLimits limits = MemoryLimits.of(settings, 192 * MIB);
        assertEquals(1024, limits.maxConnections());
        assertEquals(64 * MIB, limits.maxTotalRequestBytes());
        assertEquals(16 * MIB, limits.maxTotalRetainedBytes());
        assertFalse(limits.isBelow(settings));
    }

    @Test
    void lowersLimitsThatExceedHeap() {
        GatewaySettings settings = GatewayFixture.settings("");
        MemoryLimits limits = MemoryLimits.of(settings, 64 * MIB);
        assertTrue(limits.isBelow(settings));
        assertTrue(limits.maxTotalRequestBytes() + limits.maxTotalRetainedBytes() <= 32 * MIB);
        assertTrue(limits.maxConnections() * (long) settings.clients().maxHeaderBytes() <= 16 * MIB);
        assertTrue(limits.maxConnections() > 0);
    }
}
