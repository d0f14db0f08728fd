package io.hornbeamfield.core.stream;

/** A software version of a service; the version is empty if its servers do not name one. */
public record ServiceVersion(String service, String version) {
    // Those of a record are generated when they are first used, which delays each start.
    @Override
    public int hashCode() {
        return 31 * service.hashCode() + version.hashCode();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ServiceVersion o && service.equals(o.service) && version.equals(o.version);
    }
}
