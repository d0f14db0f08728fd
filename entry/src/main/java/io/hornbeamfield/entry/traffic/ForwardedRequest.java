package io.hornbeamfield.entry.traffic;

import io.hornbeamfield.core.route.WorkspaceAccess;
import io.hornbeamfield.net.relay.Header;
import io.hornbeamfield.net.relay.InboundRequest;
import io.hornbeamfield.net.relay.OutboundRequest;
import io.hornbeamfield.platform.Wire;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Builds the request to a server from the request of a caller, changing only the headers that this system sets. */
final class ForwardedRequest {
    private ForwardedRequest() {}

    /**
     * Returns the request to send to a server.
     *
     * @param keysRequired whether callers authenticate with keys, which must not be forwarded
     * @param lastEventId id of the last forwarded event, negative if there is none
     */
    static OutboundRequest of(
            String serverId,
            InboundRequest request,
            boolean keysRequired,
            Optional<WorkspaceAccess> workspace,
            long timeLeftMs,
            long lastEventId) {
        List<Header> headers = new ArrayList<>();
        for (Header h : Responses.endToEnd(request.headers())) {
            boolean replaced = h.name().equalsIgnoreCase(Wire.TIME_LEFT_MS)
                    || (keysRequired && h.name().equalsIgnoreCase("Authorization"))
                    || (lastEventId >= 0 && h.name().equalsIgnoreCase(Wire.LAST_EVENT_ID));
            if (!replaced && !Wire.isReserved(h.name())) {
                headers.add(h);
            }
        }
        headers.add(new Header(Wire.TIME_LEFT_MS, Long.toString(Math.max(1, timeLeftMs))));
        headers.add(new Header(Wire.EXPECTED_SERVER, serverId));
        workspace.ifPresent(w -> headers.add(new Header(Wire.WORKSPACE, w.name())));
        if (lastEventId >= 0) {
            headers.add(new Header(Wire.LAST_EVENT_ID, Long.toString(lastEventId)));
        }
        return new OutboundRequest(request.method(), request.target(), headers, request.body());
    }
}
