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
 * The configuration's text, read as a stream. The host list in it may be far longer than all the rest, and stand before the
 * names that it is decoded with: it is skipped at first, and read by itself once they are known.
 */
final class ConfigurationText {
    /** Where the text is; each call begins it anew. */
    interface Source {
        InputStream fromStart() throws IOException;
    }

    private static final String KNOWN = "known";
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

    /** Reads all but the host list; throws {@link InvalidSettingException} where the text is no configuration. */
    static ConfigurationText read(Source source) throws IOException {
        ConfigurationText text = new ConfigurationText(source);
        try (JsonParser parser = JSON.createParser(source.fromStart())) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new InvalidSettingException("GW_CONFIG", ": the file holds no JSON object");
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
        } else if (isObject && name.equals(KNOWN)) {
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
            return ServiceScope.ALL; // as if it were not there
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

    /** All but the settings, the scope and the host list. */
    FlattenedJson values() {
        return values;
    }

    FlattenedJson settings() {
        return settings;
    }

    ServiceScope scope() {
        return scope;
    }

    /** The host list in the text, as far as the filter keeps it; empty where the text has none. */
    Optional<DecodeResult<HostList>> readKnownHosts(Codec codec, HostListFilter filter) throws IOException {
        if (!hasKnownHosts) {
            return Optional.empty();
        }
        DecodeResult<HostList> known = null;
        try (JsonParser parser = codec.hostListParser(source.fromStart())) {
            parser.nextToken();
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                String name = parser.currentName();
                if (parser.nextToken() == JsonToken.START_OBJECT && name.equals(KNOWN)) {
                    known = codec.decodeHostList(parser, filter);
                } else {
                    parser.skipChildren();
                }
            }
        }
        return Optional.ofNullable(known);
    }
}
