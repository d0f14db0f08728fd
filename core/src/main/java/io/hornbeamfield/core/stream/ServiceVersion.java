package io.hornbeamfield.core.stream;

/** A software version of a service; the version is empty if its servers do not name one. */
public record ServiceVersion(String service, String version) {}
