package io.hornbeamfield.core.config;

import java.time.Clock;
import java.util.Optional;

/** Delegates to a {@link ConfigAdoption}. Tests override a single rule to inject a fault. */
class OverridableAdoption {
    final ConfigAdoption delegate;

    OverridableAdoption(Clock clock) {
        delegate = new ConfigAdoption(clock);
    }

    void offer(ConfigHead head) {
        delegate.offer(head);
    }

    Optional<ConfigHead> adopted() {
        return delegate.adopted();
    }

    long revision() {
        return adopted().map(ConfigHead::revision).orElse(0L);
    }

    boolean mayServe() {
        return delegate.mayServe();
    }

    long reportedRevision() {
        return mayServe() ? revision() : 0;
    }

    Optional<ConfigFetch> nextFetch() {
        return delegate.nextFetch();
    }

    void peerReported(String peer, long revision, long ageMs) {
        delegate.peerReported(peer, revision, ageMs);
    }

    void peerLost(String peer) {
        delegate.peerLost(peer);
    }

    /** Returns whether an operator's update is conditional on the revision that the operator read. */
    boolean conditionalUpdates() {
        return true;
    }
}
