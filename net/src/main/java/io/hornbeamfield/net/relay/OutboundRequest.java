package io.hornbeamfield.net.relay;

import java.util.List;

/** A request to send. The transport adds the Content-Length header. */
public record OutboundRequest(String method, String target, List<Header> headers, byte[] body) {
    public OutboundRequest {
        headers = List.copyOf(headers);
    }
}
