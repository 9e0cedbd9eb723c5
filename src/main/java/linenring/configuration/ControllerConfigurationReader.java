package linenring.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.Channels;
import java.nio.channels.SeekableByteChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import linenring.configuration.ControllerConfiguration.Outcome;
import linenring.protocol.Codec;
import linenring.protocol.DecodeError;
import linenring.protocol.DecodeResult;
import linenring.protocol.HostCapacity;
import linenring.protocol.HostList;
import linenring.protocol.HostListFilter;
import linenring.settings.Names;
import linenring.settings.SettingsReader;

/**
 * The one place where configuration is read, checked and given defaults. The file that {@code GW_CONFIG} names
 * has all of it; {@code GW_NAME} and {@code GW_LISTEN} go before what the file says. {@code GW_DISCOVERY} only counts
 * where the file names none: the environment stays as it was at the start, and the file is replaced while we run.
 */
public final class ControllerConfigurationReader {
    private static final int SOCKETS = 1024; // where no limit is told: the usual limit of a process
    private static final int SOCKETS_LEAST = 48; // the process itself needs about 20

    private ControllerConfigurationReader() {}

    public static Outcome read(Map<String, String> environment) {
        return read(environment, true);
    }

    /** As {@link #read}, without the list of hosts that is known: only a start has a use for it. */
    public static Outcome readAgain(Map<String, String> environment) {
        return read(environment, false);
    }

    private static Outcome read(Map<String, String> environment, boolean withKnown) {
        String file = environment.get("GW_CONFIG");
        if (file == null || file.isEmpty()) {
            return Outcome.fault("GW_CONFIG", "is missing");
        }
        try (SeekableByteChannel channel =
                Files.newByteChannel(Path.of(file))) { // one file, be its name another's meanwhile
            boolean[] begun = {false};
            return read(
                    environment,
                    () -> {
                        if (begun[0]) { // what can be read only once, as a pipe, will do where there is no list
                            channel.position(0);
                        }
                        begun[0] = true;
                        return Channels.newInputStream(channel);
                    },
                    withKnown);
        } catch (IOException | RuntimeException e) {
            return Outcome.fault("GW_CONFIG:", "cannot read " + file);
        }
    }

    static Outcome read(Map<String, String> environment, byte[] text) {
        return read(environment, () -> new ByteArrayInputStream(text), true);
    }

    private static Outcome read(Map<String, String> environment, ConfigurationText.Source source, boolean withKnown) {
        return read(environment, source, withKnown, HostCapacity.ofThisProcess());
    }

    static Outcome read(
            Map<String, String> environment, ConfigurationText.Source source, boolean withKnown, int hostsMost) {
        try {
            ConfigurationText text = ConfigurationText.read(source);
            ControllerConfiguration assignment = check(environment, text);
            return withKnown ? withKnown(assignment, text, hostsMost) : new Outcome(assignment, null, false);
        } catch (InvalidSettingException e) {
            return new Outcome(null, e.getMessage(), false);
        } catch (JsonProcessingException e) {
            return Outcome.fault("GW_CONFIG:", "the file is not JSON");
        } catch (IOException e) {
            return Outcome.fault("GW_CONFIG:", "cannot be read: " + e.getMessage());
        }
    }

    /** Discovery tells the list all the same: what is wrong with this one stops no start, unless it can't be borne. */
    private static Outcome withKnown(ControllerConfiguration assignment, ConfigurationText text, int hostsMost)
            throws IOException {
        HostListFilter filter = new HostListFilter(assignment.scope(), id -> false, hostsMost);
        DecodeResult<HostList> known = text.known(new Codec(assignment.names()), filter);
        if (known == null) {
            return new Outcome(assignment, null, false);
        }
        if (known instanceof DecodeResult.Failed<HostList> failed) {
            String reason = failed.error().reason();
            return failed.error().stage() == DecodeError.Stage.SIZE
                    ? new Outcome(null, "known lists " + reason, true)
                    : new Outcome(assignment.withKnown(null, "known: " + reason + "; begins without it"), null, false);
        }
        HostList list = known.orElseThrow();
        if (list.hasNoneInScope()) {
            String leftOut = "known lists " + list.outsideScopeCount()
                    + " hosts and scope names none of them; begins without it";
            return new Outcome(assignment.withKnown(null, leftOut), null, false);
        }
        String leftOut = list.invalidEntriesSummary()
                .map(summary -> "known lists " + summary)
                .orElse(null);
        return new Outcome(assignment.withKnown(list, leftOut), null, false);
    }

    private static ControllerConfiguration check(Map<String, String> environment, ConfigurationText text) {
        FlatJson all = text.all, settings = text.settings;
        preferred(environment, "GW_NAME", all, "name");
        String listen = preferred(environment, "GW_LISTEN", all, "listen");
        String discovery =
                all.find("discovery") != null ? "discovery" : preferred(environment, "GW_DISCOVERY", all, "discovery");
        if (settings.values.isEmpty()) {
            throw new InvalidSettingException("settings", "is missing");
        }
        Names names = SettingsReader.names(settings);
        int sockets = all.index("limits.sockets", SOCKETS);
        if (sockets < SOCKETS_LEAST) {
            throw new InvalidSettingException("limits.sockets", ": " + sockets + " is under " + SOCKETS_LEAST);
        }
        return new ControllerConfiguration(
                all.find("name"),
                address(listen, all.find("listen")),
                address(discovery, all.find("discovery")),
                sockets,
                SettingsReader.read(settings),
                names,
                text.scope(),
                null,
                null);
    }

    /** Lets the environment's value go before the file's; tells the key that it came from. */
    private static String preferred(Map<String, String> environment, String variable, FlatJson all, String key) {
        String value = environment.get(variable);
        if (value != null && !value.isEmpty()) {
            all.values.put(key, value);
            return variable;
        }
        all.text(key);
        return key;
    }

    private static InetSocketAddress address(String key, String value) {
        int colon = value.lastIndexOf(':');
        try {
            int port = Integer.parseInt(value.substring(colon + 1));
            String host = value.substring(0, Math.max(0, colon));
            if (host.matches("[0-9.]+|\\[[0-9a-fA-F:.]+]") && port > 0 && port < 65536) {
                return new InetSocketAddress(InetAddress.getByName(host), port); // figures: nothing is looked up
            }
        } catch (NumberFormatException | java.net.UnknownHostException e) {
            // told below, as for what is no address
        }
        throw new InvalidSettingException(key, ": '" + value + "' is no ADDRESS:PORT");
    }
}
