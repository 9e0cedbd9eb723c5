package linenring.gateway;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import org.junit.jupiter.api.Test;

class RetainedBodyTest {
    @Test
    void retainsUpToItsOwnLimitAndThatOfAllBodies() {
        BufferBudget budget = new BufferBudget(10);
        RetainedBody first = new RetainedBody(8, budget);
        RetainedBody second = new RetainedBody(8, budget);
        first.add(ByteBuffer.wrap(new byte[] {1, 2, 3}), false);
        first.add(ByteBuffer.wrap(new byte[] {4, 5}), true);
        assertTrue(first.isComplete() && first.hasEnded());
        assertArrayEquals(new byte[] {1, 2, 3, 4, 5}, first.bytes());
        second.add(ByteBuffer.wrap(new byte[6]), false); // 5 of the 10 bytes of the shared budget are left
        assertFalse(second.isComplete());
        assertEquals(5, budget.reservedBytes());
        first.add(ByteBuffer.wrap(new byte[4]), false);
        assertFalse(first.isComplete());
        assertEquals(0, budget.reservedBytes());
    }
}
