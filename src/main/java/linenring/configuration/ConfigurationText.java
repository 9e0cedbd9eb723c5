package linenring.configuration;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import linenring.protocol.Codec;
import linenring.protocol.DecodeResult;
import linenring.protocol.HostList;
import linenring.protocol.HostListFilter;
import linenring.protocol.ServiceScope;

/**
 * Reads the text of the configuration as a stream, in two passes. The host list may be far longer than all other parts,
 * and may precede the names that are needed to decode it: the first pass skips the host list, and the second pass reads
 * only the host list.
 */
final class ConfigurationText {
    /** Opens the text of the configuration at its beginning, at each call. */
    interface Source {
        InputStream openAtStart() throws IOException;
    }

    private static final String KNOWN_HOSTS_KEY = "known";
    private static final JsonFactory JSON =
            JsonFactory.builder().disable(StreamReadFeature.AUTO_CLOSE_SOURCE).build();

    private final Source source;
    private final FlattenedJson values = new FlattenedJson("");
    private final FlattenedJson settings = new FlattenedJson("settings.");
    private ServiceScope scope = ServiceScope.ALL;
    private boolean hasKnownHosts;

    private ConfigurationText(Source source) {
        this.source = source;
    }

    /** Reads all parts but the host list; throws {@link InvalidSettingException} if the text is not a valid configuration. */
    static ConfigurationText read(Source source) throws IOException {
        ConfigurationText text = new ConfigurationText(source);
        try (JsonParser parser = JSON.createParser(source.openAtStart())) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new InvalidSettingException("GW_CONFIG", ": the file does not contain a JSON object");
            }
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                String name = parser.currentName();
                parser.nextToken();
                text.readValue(name, parser);
            }
        }
        return text;
    }

    private void readValue(String name, JsonParser parser) throws IOException {
        boolean isObject = parser.currentToken() == JsonToken.START_OBJECT;
        if (isObject && name.equals("settings")) {
            settings.readObject(parser, "");
        } else if (isObject && name.equals(KNOWN_HOSTS_KEY)) {
            hasKnownHosts = true;
            parser.skipChildren();
        } else if (name.equals("scope")) {
            scope = readScope(parser);
        } else {
            values.readValue(parser, name);
        }
    }

    private static ServiceScope readScope(JsonParser parser) throws IOException {
        if (parser.currentToken() == JsonToken.VALUE_NULL) {
            return ServiceScope.ALL; // null has the same meaning as a missing scope
        }
        if (parser.currentToken() != JsonToken.START_ARRAY) {
            throw new InvalidSettingException("scope", "is not a list of service names");
        }
        List<String> services = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            if (parser.currentToken() != JsonToken.VALUE_STRING) {
                throw new InvalidSettingException("scope", ": item " + (services.size() + 1) + " is not text");
            }
            if (parser.getText().isBlank()) {
                throw new InvalidSettingException("scope", ": item " + (services.size() + 1) + " is empty");
            }
            services.add(parser.getText());
        }
        return ServiceScope.of(services);
    }

    /** Returns the values of all keys other than the settings, the scope and the host list. */
    FlattenedJson values() {
        return values;
    }

    FlattenedJson settings() {
        return settings;
    }

    ServiceScope scope() {
        return scope;
    }

    /** Reads the hosts of the text's host list that the filter retains; empty if the text has no host list. */
    Optional<DecodeResult<HostList>> readKnownHosts(Codec codec, HostListFilter filter) throws IOException {
        if (!hasKnownHosts) {
            return Optional.empty();
        }
        DecodeResult<HostList> decoded = null;
        try (JsonParser parser = codec.hostListParser(source.openAtStart())) {
            parser.nextToken();
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                String name = parser.currentName();
                if (parser.nextToken() == JsonToken.START_OBJECT && name.equals(KNOWN_HOSTS_KEY)) {
                    decoded = codec.decodeHostList(parser, filter);
                } else {
                    parser.skipChildren();
                }
            }
        }
        return Optional.ofNullable(decoded);
    }
}
