package io.hornbeamfield.entry;

import io.hornbeamfield.entry.Blackboard.Member;
import io.hornbeamfield.net.relay.Header;
import io.hornbeamfield.net.relay.InboundRequest;
import io.hornbeamfield.platform.AddressAnswer;
import io.hornbeamfield.platform.Wire;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.IntSupplier;

/** Answers whether this instance takes requests, and which addresses callers should use. */
final class Directory {
    /** Most addresses that a caller takes over. */
    private static final int MAX_ADDRESSES = 64;

    /** With fewer instances in a caller's zone, the loss of one would leave it with none. */
    private static final int MIN_IN_ZONE = 2;

    /** Callers that keep an answer longer find a stopped or lost instance later. */
    private static final int KEEP_SECONDS = 2;

    private static final List<Header> JSON = List.of(new Header("Content-Type", "application/json"));

    private final Blackboard blackboard;
    private final String self;
    private final IntSupplier maxKeepSeconds;

    Directory(Blackboard blackboard, String self, IntSupplier maxKeepSeconds) {
        this.blackboard = blackboard;
        this.self = self;
        this.maxKeepSeconds = maxKeepSeconds;
    }

    void ready(InboundRequest request) {
        request.reply(blackboard.ready() ? 200 : 503, List.of(), new byte[0]);
    }

    void addresses(InboundRequest request) {
        if (!request.path().equals(Wire.ADDRESSES_PATH)) {
            request.reply(404, List.of(), new byte[0]);
            return;
        }
        List<String> addresses = choose(parameter(request.query(), Wire.CALLER_ZONE));
        if (addresses.isEmpty()) {
            request.reply(503, List.of(), new byte[0]);
        } else {
            request.reply(
                    200, JSON, AddressAnswer.encode(addresses, Math.min(KEEP_SECONDS, maxKeepSeconds.getAsInt())));
        }
    }

    private List<String> choose(String zone) {
        List<String> inZone = new ArrayList<>();
        List<String> all = new ArrayList<>();
        for (Member m : blackboard.members()) {
            boolean takesRequests = !m.name().equals(self) || blackboard.ready();
            if (takesRequests) {
                all.add(m.callerAddress());
            }
            if (takesRequests && m.zone().equals(zone)) {
                inZone.add(m.callerAddress());
            }
        }
        List<String> chosen = inZone.size() >= MIN_IN_ZONE ? inZone : all;
        return chosen.subList(0, Math.min(MAX_ADDRESSES, chosen.size()));
    }

    private static String parameter(String query, String name) {
        for (String p : query.split("&")) {
            int equals = p.indexOf('=');
            if (equals > 0 && p.substring(0, equals).toLowerCase(Locale.ROOT).equals(name)) {
                return p.substring(equals + 1);
            }
        }
        return "";
    }
}
