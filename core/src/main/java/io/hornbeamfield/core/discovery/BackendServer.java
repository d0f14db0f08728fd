package io.hornbeamfield.core.discovery;

/**
 * A backend server as it announced itself.
 *
 * @param id id of the server; it may be kept over restarts
 * @param service service that it runs
 * @param address {@code ip:port}; other servers may use it later
 * @param zone availability zone
 * @param slots requests that it runs at once
 * @param leaving whether it takes no new requests
 * @param startedAtMs start of this incarnation in Unix milliseconds, 0 if it did not say
 */
public record BackendServer(
        String id, String service, String address, String zone, int slots, boolean leaving, long startedAtMs) {

    /** Returns whether another announcement is of the same run of the same server. */
    public boolean sameIncarnation(BackendServer other) {
        return id.equals(other.id) && address.equals(other.address) && startedAtMs == other.startedAtMs;
    }
}
