package io.hornbeamfield.core.route;

/** Limits on the size of a caller's request and on the time for its headers and for an idle connection. */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {}
