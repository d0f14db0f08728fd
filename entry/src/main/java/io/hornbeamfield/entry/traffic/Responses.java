package io.hornbeamfield.entry.traffic;

import io.hornbeamfield.core.result.ResultCode;
import io.hornbeamfield.net.relay.Header;
import io.hornbeamfield.net.relay.InboundRequest;
import io.hornbeamfield.platform.Wire;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** Builds refusals, and filters the headers of responses and forwarded requests. */
final class Responses {
    /** Hop-by-hop headers, which the transport sets for each connection. */
    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "expect");

    private Responses() {}

    /** Responds to a request with a refusal in problem details format. */
    static void refuse(InboundRequest request, ResultCode code, String detail, long retryAfterMs) {
        List<Header> headers = new ArrayList<>();
        headers.add(new Header("Content-Type", "application/problem+json"));
        if (retryAfterMs > 0) {
            headers.add(new Header(Wire.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", retryAfterMs / 1_000.0)));
        }
        String body = "{\"type\":\"https://hornbeamfield.io/codes/" + code.number() + "\",\"code\":" + code.number()
                + ",\"title\":\"" + code.title() + "\",\"ran\":\"" + code.ran().wireName() + "\",\"detail\":\""
                + detail.replace("\\", "\\\\").replace("\"", "\\\"") + "\"}";
        request.reply(code.httpStatus(), headers, body.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the end-to-end headers, which are forwarded to the next hop. */
    static List<Header> endToEnd(List<Header> headers) {
        Set<String> connectionOptions = connectionOptions(headers);
        List<Header> endToEnd = new ArrayList<>(headers.size());
        for (Header h : headers) {
            String name = h.name().toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP.contains(name) && !connectionOptions.contains(name)) {
                endToEnd.add(h);
            }
        }
        return endToEnd;
    }

    private static Set<String> connectionOptions(List<Header> headers) {
        Set<String> names = new HashSet<>();
        for (Header h : headers) {
            if (h.name().equalsIgnoreCase("Connection")) {
                for (String option : h.value().split(",")) {
                    names.add(option.trim().toLowerCase(Locale.ROOT));
                }
            }
        }
        return names;
    }
}
