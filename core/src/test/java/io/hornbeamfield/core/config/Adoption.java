package io.hornbeamfield.core.config;

import java.time.Clock;
import java.util.Optional;

/** The adoption of one router in the search; a test overrides one rule with a faulty variant. */
class Adoption {
    final ConfigAdoption real;

    Adoption(Clock clock) {
        real = new ConfigAdoption(clock);
    }

    void offer(ConfigHead head) {
        real.offer(head);
    }

    Optional<ConfigHead> adopted() {
        return real.adopted();
    }

    long revision() {
        return adopted().map(ConfigHead::revision).orElse(0L);
    }

    boolean mayServe() {
        return real.mayServe();
    }

    long announced() {
        return mayServe() ? revision() : 0;
    }

    Optional<ConfigFetch> nextFetch() {
        return real.nextFetch();
    }

    void peerReported(String peer, long revision, long ageMs) {
        real.peerReported(peer, revision, ageMs);
    }

    void peerLost(String peer) {
        real.peerLost(peer);
    }

    /** Returns whether an operator's update is applied only to the revision that it read. */
    boolean conditionalUpdates() {
        return true;
    }
}
