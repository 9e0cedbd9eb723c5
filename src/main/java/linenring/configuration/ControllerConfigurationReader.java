package linenring.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.channels.Channels;
import java.nio.channels.SeekableByteChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;
import linenring.configuration.ConfigurationException.Kind;
import linenring.protocol.Codec;
import linenring.protocol.DecodeError;
import linenring.protocol.DecodeResult;
import linenring.protocol.HostCapacity;
import linenring.protocol.HostList;
import linenring.protocol.HostListFilter;
import linenring.settings.Names;
import linenring.settings.SettingsReader;

/**
 * The one place where configuration is read, checked and given defaults. The file that {@code GW_CONFIG} names has all of it;
 * {@code GW_NAME} and {@code GW_LISTEN} take precedence over the file. {@code GW_DISCOVERY} only counts where the file names
 * none: the environment stays as it was at the start, and the file is replaced while the process runs.
 */
public final class ControllerConfigurationReader {
    /** Where the file names no limit: the usual limit of a process. */
    private static final int DEFAULT_MAX_SOCKETS = 1024;

    /** The process itself needs about 20. */
    private static final int LEAST_MAX_SOCKETS = 48;

    private static final int MAX_PORT = 65535;

    /** An address in digits: nothing is looked up. */
    private static final Pattern NUMERIC_HOST = Pattern.compile("[0-9.]+|\\[[0-9a-fA-F:.]+]");

    private ControllerConfigurationReader() {}

    /** Reads all of it, for a start. */
    public static ControllerConfiguration read(Map<String, String> environment) throws ConfigurationException {
        return read(environment, true);
    }

    /** As {@link #read}, without the known host list: only a start has a use for it. */
    public static ControllerConfiguration readAgain(Map<String, String> environment) throws ConfigurationException {
        return read(environment, false);
    }

    private static ControllerConfiguration read(Map<String, String> environment, boolean withKnownHosts)
            throws ConfigurationException {
        String file = environment.get("GW_CONFIG");
        if (file == null || file.isEmpty()) {
            throw new ConfigurationException(Kind.INVALID, "GW_CONFIG is missing");
        }
        // one file throughout, even where another takes its name meanwhile
        try (SeekableByteChannel channel = Files.newByteChannel(Path.of(file))) {
            return read(environment, new ChannelSource(channel), withKnownHosts, HostCapacity.ofThisProcess());
        } catch (IOException | RuntimeException failure) {
            throw new ConfigurationException("GW_CONFIG: cannot read " + file, failure);
        }
    }

    /** A file that is open. One that can be read only once, such as a pipe, will do where it has no host list. */
    private static final class ChannelSource implements ConfigurationText.Source {
        private final SeekableByteChannel channel;
        private boolean isBegun;

        ChannelSource(SeekableByteChannel channel) {
            this.channel = channel;
        }

        @Override
        public InputStream fromStart() throws IOException {
            if (isBegun) {
                channel.position(0);
            }
            isBegun = true;
            return Channels.newInputStream(channel);
        }
    }

    static ControllerConfiguration read(Map<String, String> environment, byte[] text) throws ConfigurationException {
        return read(environment, () -> new ByteArrayInputStream(text), true, HostCapacity.ofThisProcess());
    }

    static ControllerConfiguration read(
            Map<String, String> environment, ConfigurationText.Source source, boolean withKnownHosts, int maxHosts)
            throws ConfigurationException {
        try {
            ConfigurationText text = ConfigurationText.read(source);
            ControllerConfiguration configuration = check(environment, text);
            return withKnownHosts ? withKnownHosts(configuration, text, maxHosts) : configuration;
        } catch (InvalidSettingException failure) {
            throw new ConfigurationException(failure.getMessage(), failure);
        } catch (JsonProcessingException failure) {
            throw new ConfigurationException("GW_CONFIG: the file is not JSON", failure);
        } catch (IOException failure) {
            throw new ConfigurationException("GW_CONFIG: cannot be read: " + failure.getMessage(), failure);
        }
    }

    /** Discovery sends the list in any case: a fault of this one prevents no start, unless it does not fit the memory. */
    private static ControllerConfiguration withKnownHosts(
            ControllerConfiguration configuration, ConfigurationText text, int maxHosts)
            throws IOException, ConfigurationException {
        HostListFilter filter = new HostListFilter(configuration.scope(), id -> false, maxHosts);
        Optional<DecodeResult<HostList>> known = text.readKnownHosts(new Codec(configuration.names()), filter);
        if (known.isEmpty()) {
            return configuration;
        }
        if (known.get() instanceof DecodeResult.Failed<HostList> failed) {
            return withoutKnownHosts(configuration, failed.error());
        }
        HostList list = known.get().orElseThrow();
        if (list.hasNoneInScope()) {
            String fault = "known lists " + list.outsideScopeCount()
                    + " hosts and scope names none of them; begins without it";
            return configuration.withKnownHosts(Optional.empty(), Optional.of(fault));
        }
        return configuration.withKnownHosts(
                Optional.of(list), list.invalidEntriesSummary().map(summary -> "known lists " + summary));
    }

    private static ControllerConfiguration withoutKnownHosts(ControllerConfiguration configuration, DecodeError error)
            throws ConfigurationException {
        if (error.stage() == DecodeError.Stage.SIZE) {
            throw new ConfigurationException(Kind.EXCEEDS_MEMORY, "known lists " + error.reason());
        }
        String fault = "known: " + error.reason() + "; begins without it";
        return configuration.withKnownHosts(Optional.empty(), Optional.of(fault));
    }

    private static ControllerConfiguration check(Map<String, String> environment, ConfigurationText text) {
        FlattenedJson values = text.values();
        overrideOrRequire(environment, "GW_NAME", values, "name");
        String listenKey = overrideOrRequire(environment, "GW_LISTEN", values, "listen");
        String discoveryKey = values.find("discovery") != null
                ? "discovery"
                : overrideOrRequire(environment, "GW_DISCOVERY", values, "discovery");
        if (text.settings().isEmpty()) {
            throw new InvalidSettingException("settings", "is missing");
        }
        Names names = SettingsReader.names(text.settings());
        int maxSockets = values.index("limits.sockets", DEFAULT_MAX_SOCKETS);
        if (maxSockets < LEAST_MAX_SOCKETS) {
            throw new InvalidSettingException("limits.sockets", ": " + maxSockets + " is under " + LEAST_MAX_SOCKETS);
        }
        return new ControllerConfiguration(
                values.find("name"),
                address(listenKey, values.find("listen")),
                address(discoveryKey, values.find("discovery")),
                maxSockets,
                SettingsReader.read(text.settings()),
                names,
                text.scope(),
                Optional.empty(),
                Optional.empty());
    }

    /** Puts the environment's value in the place of the file's; returns the key that the value came from. */
    private static String overrideOrRequire(
            Map<String, String> environment, String variable, FlattenedJson values, String key) {
        String value = environment.get(variable);
        if (value != null && !value.isEmpty()) {
            values.override(key, value);
            return variable;
        }
        values.text(key); // throws where it is missing
        return key;
    }

    private static InetSocketAddress address(String key, String value) {
        int colon = value.lastIndexOf(':');
        try {
            int port = Integer.parseInt(value.substring(colon + 1));
            String host = value.substring(0, Math.max(0, colon));
            if (NUMERIC_HOST.matcher(host).matches() && port > 0 && port <= MAX_PORT) {
                return new InetSocketAddress(InetAddress.getByName(host), port);
            }
        } catch (NumberFormatException | UnknownHostException failure) {
            // reported below, like any other text that is no address
        }
        throw new InvalidSettingException(key, ": '" + value + "' is no ADDRESS:PORT");
    }
}
