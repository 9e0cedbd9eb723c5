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
 * Reads the configuration, checks it and applies defaults. The file that {@code GW_CONFIG} names holds the whole
 * configuration; {@code GW_NAME} and {@code GW_LISTEN} take precedence over the file. {@code GW_DISCOVERY} is used only
 * if the file gives no discovery address, since the file can be replaced while the process runs and the environment
 * cannot.
 */
public final class ControllerConfigurationReader {
    /** Default limit on sockets: the usual limit of a process. */
    private static final int DEFAULT_MAX_SOCKETS = 1024;

    /** Smallest socket limit that is accepted; the process itself needs about 20 sockets. */
    private static final int MIN_MAX_SOCKETS = 48;

    private static final int MAX_PORT = 65535;

    /** An IP address in digits, so that no name has to be resolved. */
    private static final Pattern NUMERIC_HOST = Pattern.compile("[0-9.]+|\\[[0-9a-fA-F:.]+]");

    private ControllerConfigurationReader() {}

    /** Reads the whole configuration, for the start of a process. */
    public static ControllerConfiguration read(Map<String, String> environment) throws ConfigurationException {
        return read(environment, true);
    }

    /** Reads the configuration without the known host list, for a reload: only the start of a process uses the list. */
    public static ControllerConfiguration readForReload(Map<String, String> environment) throws ConfigurationException {
        return read(environment, false);
    }

    private static ControllerConfiguration read(Map<String, String> environment, boolean withKnownHosts)
            throws ConfigurationException {
        String file = environment.get("GW_CONFIG");
        if (file == null || file.isEmpty()) {
            throw new ConfigurationException(Kind.INVALID, "GW_CONFIG is missing");
        }
        // both passes read the same file, even if it is replaced between them
        try (SeekableByteChannel channel = Files.newByteChannel(Path.of(file))) {
            return read(environment, new ChannelSource(channel), withKnownHosts, HostCapacity.ofThisProcess());
        } catch (IOException | RuntimeException failure) {
            throw new ConfigurationException("GW_CONFIG: cannot read " + file, failure);
        }
    }

    /**
     * Reads an open file from its start. A file that can be read only once, such as a pipe, is supported if it has no
     * host list.
     */
    private static final class ChannelSource implements ConfigurationText.Source {
        private final SeekableByteChannel channel;
        private boolean hasBeenRead;

        ChannelSource(SeekableByteChannel channel) {
            this.channel = channel;
        }

        @Override
        public InputStream openAtStart() throws IOException {
            if (hasBeenRead) {
                channel.position(0);
            }
            hasBeenRead = true;
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
            ControllerConfiguration configuration = validate(environment, text);
            return withKnownHosts ? withKnownHosts(configuration, text, maxHosts) : configuration;
        } catch (InvalidSettingException failure) {
            throw new ConfigurationException(failure.getMessage(), failure);
        } catch (JsonProcessingException failure) {
            throw new ConfigurationException("GW_CONFIG: the file is not JSON", failure);
        } catch (IOException failure) {
            throw new ConfigurationException("GW_CONFIG: cannot be read: " + failure.getMessage(), failure);
        }
    }

    /**
     * Adds the known host list to the configuration. An invalid list does not prevent the start, since discovery sends a
     * list in any case; only a list that exceeds the memory does.
     */
    private static ControllerConfiguration withKnownHosts(
            ControllerConfiguration configuration, ConfigurationText text, int maxHosts)
            throws IOException, ConfigurationException {
        HostListFilter filter = new HostListFilter(configuration.scope(), id -> false, maxHosts);
        Optional<DecodeResult<HostList>> decoded = text.readKnownHosts(new Codec(configuration.names()), filter);
        if (decoded.isEmpty()) {
            return configuration;
        }
        if (decoded.get() instanceof DecodeResult.Failed<HostList> failed) {
            return withoutKnownHosts(configuration, failed.error());
        }
        HostList list = decoded.get().orElseThrow();
        if (list.hasNoHostsInScope()) {
            String fault = "known lists " + list.outsideScopeCount()
                    + " hosts but scope includes none of them; starting without a host list";
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
        String fault = "known: " + error.reason() + "; starting without a host list";
        return configuration.withKnownHosts(Optional.empty(), Optional.of(fault));
    }

    private static ControllerConfiguration validate(Map<String, String> environment, ConfigurationText text) {
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
        if (maxSockets < MIN_MAX_SOCKETS) {
            throw new InvalidSettingException(
                    "limits.sockets", ": " + maxSockets + " is less than the minimum of " + MIN_MAX_SOCKETS);
        }
        return new ControllerConfiguration(
                values.find("name"),
                parseAddress(listenKey, values.find("listen")),
                parseAddress(discoveryKey, values.find("discovery")),
                maxSockets,
                SettingsReader.read(text.settings()),
                names,
                text.scope(),
                Optional.empty(),
                Optional.empty());
    }

    /** Replaces the file's value with the environment's, if set; returns the key or variable that the value comes from. */
    private static String overrideOrRequire(
            Map<String, String> environment, String variable, FlattenedJson values, String key) {
        String value = environment.get(variable);
        if (value != null && !value.isEmpty()) {
            values.override(key, value);
            return variable;
        }
        values.text(key); // throws if the key is missing
        return key;
    }

    private static InetSocketAddress parseAddress(String key, String value) {
        int colon = value.lastIndexOf(':');
        try {
            int port = Integer.parseInt(value.substring(colon + 1));
            String host = value.substring(0, Math.max(0, colon));
            if (NUMERIC_HOST.matcher(host).matches() && port > 0 && port <= MAX_PORT) {
                return new InetSocketAddress(InetAddress.getByName(host), port);
            }
        } catch (NumberFormatException | UnknownHostException failure) {
            // invalid addresses are reported below
        }
        throw new InvalidSettingException(key, ": '" + value + "' is not a numeric ADDRESS:PORT");
    }
}
