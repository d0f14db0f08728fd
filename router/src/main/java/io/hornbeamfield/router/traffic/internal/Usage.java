package io.hornbeamfield.router.traffic.internal;

/** Tokens that an engine read and produced for one engine request. */
record Usage(long promptTokens, long completionTokens) {
    long total() {
        return promptTokens + completionTokens;
    }
}
