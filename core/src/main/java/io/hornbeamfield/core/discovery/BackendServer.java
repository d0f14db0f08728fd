package io.hornbeamfield.core.discovery;

import java.util.OptionalLong;

/**
 * A backend server as it registered itself.
 *
 * @param id id of the server; it may stay the same across restarts
 * @param service service that the server runs
 * @param address {@code ip:port}; another server may reuse it later
 * @param zone availability zone
 * @param slots number of requests that the server runs concurrently
 * @param leaving whether the server is draining and takes no new requests
 * @param startedAtMs start of this incarnation in Unix milliseconds, 0 if unknown
 * @param coldLeftMs remaining time in milliseconds for which the server is cold, empty if it does not say; negative if
 *     it cannot be read
 * @param version version of its software, empty if it does not name one
 */
public record BackendServer(
        String id,
        String service,
        String address,
        String zone,
        int slots,
        boolean leaving,
        long startedAtMs,
        OptionalLong coldLeftMs,
        String version) {

    /** Creates a server that does not name its version. */
    public BackendServer(
            String id,
            String service,
            String address,
            String zone,
            int slots,
            boolean leaving,
            long startedAtMs,
            OptionalLong coldLeftMs) {
        this(id, service, address, zone, slots, leaving, startedAtMs, coldLeftMs, "");
    }

    /** Creates a server that does not say whether it is cold. */
    public BackendServer(
            String id, String service, String address, String zone, int slots, boolean leaving, long startedAtMs) {
        this(id, service, address, zone, slots, leaving, startedAtMs, OptionalLong.empty());
    }

    /** Returns whether another registration is of the same incarnation of the same server. */
    public boolean sameIncarnation(BackendServer other) {
        return id.equals(other.id)
                && address.equals(other.address)
                && startedAtMs == other.startedAtMs
                && version.equals(other.version);
    }
}
