package linenring.discovery;

import java.util.ArrayList;
import java.util.List;

/** What an agent sends, as these tests write it. */
final class AgentMessages {
    /** The head of a watch's answer. */
    static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private AgentMessages() {}

    static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** The answer to a request for the whole list. */
    static String body(String list) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list;
    }

    /** Host s-1 in this state, without a service. */
    static String host(String state) {
        return "s-1  " + state;
    }

    /** Each entry is id, service (empty: none) and state, a space between. */
    static String list(long version, boolean whole, String... entries) {
        List<String> all = new ArrayList<>();
        for (String entry : entries) {
            all.add(entry(entry));
        }
        return "{\"version\":" + version + ",\"full\":" + whole + ",\"servers\":[" + String.join(",", all) + "]}\n";
    }

    static String entry(String described) {
        String[] words = described.split(" ", 3);
        String service = words[1].isEmpty() ? "" : ",\"service\":\"" + words[1] + "\"";
        return "{\"id\":\"" + words[0] + "\",\"zone\":\"a\",\"kind\":\"m1\",\"state\":\"" + words[2] + "\"" + service
                + "}";
    }
}
