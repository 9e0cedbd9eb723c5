package linenring.discovery;

import java.util.ArrayList;
import java.util.List;

/** Responses of a discovery agent, as text. */
final class AgentMessages {
    /** Status line and headers of the response to a watch request. */
    static final String RESPONSE_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private AgentMessages() {}

    static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** Returns the response to a request for the complete list. */
    static String completeListResponse(String list) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list;
    }

    /** Describes host s-1 in this state, without a service. */
    static String hostInState(String state) {
        return "s-1  " + state;
    }

    /** Returns a list as JSON. Each entry has the form "ID SERVICE STATE", with an empty SERVICE for a host without one. */
    static String list(long version, boolean isComplete, String... entries) {
        List<String> entriesAsJson = new ArrayList<>();
        for (String entry : entries) {
            entriesAsJson.add(entry(entry));
        }
        return "{\"version\":" + version + ",\"full\":" + isComplete + ",\"servers\":["
                + String.join(",", entriesAsJson) + "]}\n";
    }

    static String entry(String description) {
        String[] words = description.split(" ", 3);
        String service = words[1].isEmpty() ? "" : ",\"service\":\"" + words[1] + "\"";
        return "{\"id\":\"" + words[0] + "\",\"zone\":\"a\",\"kind\":\"m1\",\"state\":\"" + words[2] + "\"" + service
                + "}";
    }
}
