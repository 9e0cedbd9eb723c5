package linenring.gateway;

import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpURI;
import org.eclipse.jetty.http.MetaData;
import org.eclipse.jetty.http2.HTTP2Session;
import org.eclipse.jetty.http2.api.Session;

/**
 * Compares the size of headers or trailers with the limit that a peer has announced, SETTINGS_MAX_HEADER_LIST_SIZE (RFC
 * 9113, 6.5.2). Jetty closes a session on which larger ones are sent, which would affect other requests.
 */
final class HeaderListSize {
    /** Added to the lengths of a field's name and value (RFC 9113, 6.5.2). */
    private static final int FIELD_OVERHEAD_BYTES = 32;

    /** Heap of a field's objects beyond its size in a header list: the field, two strings and their arrays. */
    private static final int HEAP_BYTES_PER_FIELD = 96;

    private static final int STATUS_FIELD_BYTES = fieldBytes(":status", "200");

    private HeaderListSize() {}

    /** Whether the peer of the session accepts headers or trailers of this size. */
    static boolean isAccepted(Session session, MetaData headers) {
        int maxBytes = ((HTTP2Session) session).getGenerator().getHpackEncoder().getMaxHeaderListSize();
        return maxBytes <= 0 || bytes(headers) <= maxBytes;
    }

    /** Returns the size of headers or trailers (RFC 9113, 6.5.2). */
    static long bytes(MetaData headers) {
        long bytes = pseudoFieldBytes(headers);
        for (HttpField field : headers.getHttpFields()) {
            bytes += fieldBytes(field.getName(), field.getValue());
        }
        return bytes;
    }

    /** Returns an upper estimate of the heap that headers take. */
    static long heapBytes(MetaData headers) {
        return bytes(headers)
                + (long) HEAP_BYTES_PER_FIELD * headers.getHttpFields().size();
    }

    private static long pseudoFieldBytes(MetaData headers) {
        if (headers instanceof MetaData.Request request) {
            HttpURI target = request.getHttpURI();
            return (long) fieldBytes(":method", request.getMethod())
                    + fieldBytes(":scheme", target.getScheme())
                    + fieldBytes(":authority", target.getAuthority())
                    + fieldBytes(":path", target.getPathQuery());
        }
        return headers instanceof MetaData.Response ? STATUS_FIELD_BYTES : 0;
    }

    private static int fieldBytes(String name, String value) {
        return name.length() + (value == null ? 0 : value.length()) + FIELD_OVERHEAD_BYTES;
    }
}
