package linenring.configuration;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;
import linenring.protocol.Codec;
import linenring.protocol.DecodeResult;
import linenring.protocol.HostList;
import linenring.protocol.HostListFilter;
import linenring.protocol.ServiceScope;

/**
 * The configuration's text, read as a stream. The list of hosts in it may be far longer than all the rest, and stand before
 * the names that it is decoded with: it is passed over at first, and read by itself once they are known.
 */
final class ConfigurationText {
    /** Where the text is; each call begins it anew. */
    interface Source {
        InputStream fromStart() throws IOException;
    }

    private final Source source;
    final FlatJson all = new FlatJson(""), settings = new FlatJson("settings.");
    private ServiceScope scope = ServiceScope.ALL;
    private boolean hasKnown;

    private ConfigurationText(Source source) {
        this.source = source;
    }

    /** Reads all but the list of hosts; throws {@link InvalidSettingException} where the text is no configuration. */
    static ConfigurationText read(Source source) throws IOException {
        ConfigurationText text = new ConfigurationText(source);
        try (JsonParser in = json().createParser(source.fromStart())) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new InvalidSettingException("GW_CONFIG", ": the file holds no JSON object");
            }
            while (in.nextToken() != JsonToken.END_OBJECT) {
                String name = in.currentName();
                in.nextToken();
                text.value(name, in);
            }
        }
        return text;
    }

    private static JsonFactory json() {
        return JsonFactory.builder()
                .disable(com.fasterxml.jackson.core.StreamReadFeature.AUTO_CLOSE_SOURCE)
                .build();
    }

    private void value(String name, JsonParser in) throws IOException {
        boolean isObject = in.currentToken() == JsonToken.START_OBJECT;
        if (isObject && name.equals("settings")) {
            settings.object(in, "");
        } else if (isObject && name.equals("known")) {
            hasKnown = true;
            in.skipChildren();
        } else if (name.equals("scope")) {
            scope = scope(in);
        } else {
            all.value(in, name);
        }
    }

    private static ServiceScope scope(JsonParser in) throws IOException {
        if (in.currentToken() == JsonToken.VALUE_NULL) {
            return ServiceScope.ALL; // as if it were not there
        }
        if (in.currentToken() != JsonToken.START_ARRAY) {
            throw new InvalidSettingException("scope", "is not a list of service names");
        }
        List<String> services = new ArrayList<>();
        while (in.nextToken() != JsonToken.END_ARRAY) {
            if (in.currentToken() != JsonToken.VALUE_STRING) {
                throw new InvalidSettingException("scope", ": item " + (services.size() + 1) + " is not text");
            }
            if (in.getText().isBlank()) {
                throw new InvalidSettingException("scope", ": item " + (services.size() + 1) + " is empty");
            }
            services.add(in.getText());
        }
        return ServiceScope.of(services);
    }

    ServiceScope scope() {
        return scope;
    }

    /** The list of hosts that the text names, as far as the filter keeps it; null where it names none. */
    DecodeResult<HostList> known(Codec codec, HostListFilter filter) throws IOException {
        if (!hasKnown) {
            return null;
        }
        DecodeResult<HostList> known = null;
        try (JsonParser in = codec.hostListParser(source.fromStart())) {
            in.nextToken();
            while (in.nextToken() != JsonToken.END_OBJECT) {
                String name = in.currentName();
                if (in.nextToken() == JsonToken.START_OBJECT && name.equals("known")) {
                    known = codec.decodeHostList(in, filter);
                } else {
                    in.skipChildren();
                }
            }
        }
        return known;
    }
}
