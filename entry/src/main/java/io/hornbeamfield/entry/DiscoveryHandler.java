package io.hornbeamfield.entry;

import io.hornbeamfield.core.discovery.AddressSelection;
import io.hornbeamfield.core.route.HomeRegions;
import io.hornbeamfield.core.route.RouteConfig;
import io.hornbeamfield.core.route.ZoneRegions;
import io.hornbeamfield.entry.Blackboard.Member;
import io.hornbeamfield.net.relay.Header;
import io.hornbeamfield.net.relay.InboundRequest;
import io.hornbeamfield.platform.AddressResponse;
import io.hornbeamfield.platform.Wire;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.IntSupplier;

/** Serves the readiness check of this instance and the address lookup for callers. */
final class DiscoveryHandler {
    /** With a single instance in its zone, a caller would have no address left after the loss of that instance. */
    private static final int MIN_INSTANCES_IN_ZONE = 2;

    /** A longer time to live would delay the detection of stopped or lost instances by callers. */
    private static final int TTL_SECONDS = 2;

    private static final List<Header> JSON = List.of(new Header("Content-Type", "application/json"));

    private final Blackboard blackboard;
    private final String self;
    private final LoadSharing sharing;
    private final IntSupplier maxTtlSeconds;
    private final ZoneRegions zoneRegions;

    DiscoveryHandler(
            Blackboard blackboard,
            String self,
            LoadSharing sharing,
            IntSupplier maxTtlSeconds,
            ZoneRegions zoneRegions) {
        this.blackboard = blackboard;
        this.zoneRegions = zoneRegions;
        this.self = self;
        this.sharing = sharing;
        this.maxTtlSeconds = maxTtlSeconds;
    }

    void ready(InboundRequest request) {
        String report = request.header(LoadSharing.REPORT_HEADER) == null
                ? ""
                : sharing.loads().report();
        List<Header> headers = report.isEmpty() ? List.of() : List.of(new Header(LoadSharing.REPORT_HEADER, report));
        request.reply(blackboard.ready() ? 200 : 503, headers, new byte[0]);
    }

    void addresses(InboundRequest request) {
        if (!request.path().equals(Wire.ADDRESSES_PATH)) {
            request.reply(404, List.of(), new byte[0]);
            return;
        }
        List<String> addresses = selectAddresses(
                queryParameter(request.query(), Wire.CALLER_ZONE), queryParameter(request.query(), Wire.HOST_NAME));
        if (addresses.isEmpty()) {
            request.reply(503, List.of(), new byte[0]);
        } else {
            request.reply(
                    200, JSON, AddressResponse.encode(addresses, Math.min(TTL_SECONDS, maxTtlSeconds.getAsInt())));
        }
    }

    private List<String> selectAddresses(String zone, String host) {
        List<Member> all = allowedMembers(zone, host).stream()
                .filter(m -> !m.name().equals(self) || blackboard.ready())
                .toList();
        if (sharing.active()) {
            return sharing.select(zone, all);
        }
        List<Member> inZone = all.stream().filter(m -> m.zone().equals(zone)).toList();
        List<Member> chosen = inZone.size() >= MIN_INSTANCES_IN_ZONE ? inZone : all;
        return chosen.stream()
                .limit(AddressSelection.MAX_NAMED)
                .map(Member::callerAddress)
                .toList();
    }

    /**
     * Returns the instances that a caller may send requests for a host to. The workspace of the requests is not known
     * yet: the home regions of workspaces apply as long as they leave an instance, so that they do not take the other
     * workspaces of a host out of service.
     */
    private List<Member> allowedMembers(String callerZone, String host) {
        Optional<RouteConfig> config = blackboard.config();
        HomeRegions ofHost = config.map(c -> c.homeRegionsOfHost(host)).orElse(HomeRegions.ANY);
        HomeRegions ofWorkspaces =
                config.map(RouteConfig::homeRegionsOfWorkspaces).orElse(HomeRegions.ANY);
        List<Member> forHost = allowed(blackboard.namedMembers(), ofHost, callerZone);
        List<Member> forAll = allowed(forHost, ofWorkspaces, callerZone);
        return forAll.isEmpty() ? forHost : forAll;
    }

    private List<Member> allowed(List<Member> members, HomeRegions home, String callerZone) {
        return home.restricted()
                ? members.stream()
                        .filter(m -> home.allowsInstance(m.zone(), callerZone, zoneRegions))
                        .toList()
                : members;
    }

    private static String queryParameter(String query, String name) {
        for (String p : query.split("&")) {
            int separator = p.indexOf('=');
            if (separator > 0
                    && p.substring(0, separator).toLowerCase(Locale.ROOT).equals(name)) {
                return p.substring(separator + 1);
            }
        }
        return "";
    }
}
