package io.hornbeamfield.it.fleet;

/** A backend server of the fleet: the address of its process, and the address of the link that routers use. */
public record Backend(String id, String pool, String zone, boolean model, String address, ManagedProcess process) {
    /** Returns the name of the link between the routers and this server. */
    public String link() {
        return id;
    }
}
