package io.hornbeamfield.core.config;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** A simulated router incarnation that drives the adoption as the config controller does. */
final class ConfigRouter {
    /** Timeout of a watch: 10 s of long polling plus the time limit of the call. */
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(13);

    private static final Duration PEER_REQUEST_PERIOD = Duration.ofSeconds(2);

    final ConfigSimulation simulation;
    final int index;
    final String incarnation;
    final OverridableAdoption adoption;
    final Instant startedAt;
    final Set<String> links = new HashSet<>();
    boolean paused;
    boolean stopped;
    boolean reading;
    private Instant readAt = Instant.EPOCH;
    private Instant requestedAt = Instant.EPOCH;
    private @Nullable ConfigHead newest;
    private long platformRevision;
    private long highestAdopted;
    private long highestAtPeers;
    private boolean servingPeerReported;
    private boolean served;

    ConfigRouter(ConfigSimulation simulation, int index, String incarnation) {
        this.simulation = simulation;
        this.index = index;
        this.incarnation = incarnation;
        this.adoption = simulation.newAdoption();
        this.startedAt = simulation.clock.instant();
    }

    boolean active() {
        return !paused && !stopped;
    }

    boolean read(int behind) {
        if (reading) {
            return false;
        }
        reading = true;
        readAt = simulation.clock.instant();
        simulation.send(ConfigSimulation.PLATFORM, null, () -> {
            Optional<ConfigHead> response = simulation.outage ? Optional.empty() : Optional.of(simulation.head(behind));
            simulation.send(index, this, () -> onReadResponse(response));
        });
        return true;
    }

    private void onReadResponse(Optional<ConfigHead> head) {
        reading = false;
        if (head.isEmpty()) {
            adoption.delegate.platformFailed();
            check();
            return;
        }
        platformRevision = Math.max(platformRevision, head.get().revision());
        if (newest == null || head.get().revision() >= newest.revision()) {
            newest = head.get();
        }
        adoption.delegate.platformReported(platformRevision);
        check();
    }

    /** Performs the periodic check of the config controller. */
    void check() {
        if (reading && Duration.between(readAt, simulation.clock.instant()).compareTo(READ_TIMEOUT) >= 0) {
            reading = false;
            adoption.delegate.platformFailed();
        }
        adoption.nextFetch().ifPresent(fetch -> {
            if (fetch instanceof ConfigFetch.FromPeer peer) {
                requestFromPeer(peer.peer(), peer.revision());
            } else if (newest != null) {
                adoption.offer(newest);
            }
        });
        checkInvariants();
    }

    private void requestFromPeer(String peer, long revision) {
        if (Duration.between(requestedAt, simulation.clock.instant()).compareTo(PEER_REQUEST_PERIOD) < 0) {
            return;
        }
        requestedAt = simulation.clock.instant();
        simulation
                .incarnation(peer)
                .ifPresent(p -> simulation.send(
                        p.index,
                        p,
                        () -> p.adoption
                                .adopted()
                                .filter(h -> h.revision() >= revision)
                                .ifPresent(head -> simulation.send(index, this, () -> {
                                    requestedAt = Instant.EPOCH;
                                    adoption.offer(head);
                                    check();
                                }))));
    }

    void sendHeartbeat(ConfigRouter peer) {
        boolean serves = serves();
        long revision = adoption.reportedRevision();
        long age = adoption.delegate.confirmationAgeMs();
        long adopted = adoption.revision();
        simulation.send(peer.index, peer, () -> peer.onHeartbeat(incarnation, revision, age, serves ? adopted : 0));
    }

    private void onHeartbeat(String peer, long revision, long age, long actualRevision) {
        if (!served) {
            highestAtPeers = Math.max(highestAtPeers, actualRevision);
            servingPeerReported |= actualRevision > 0;
        }
        links.add(peer);
        adoption.peerReported(peer, revision, age);
        check();
    }

    boolean serves() {
        checkInvariants();
        return served;
    }

    /**
     * Returns whether this router is not serving yet and a peer, possibly stopped since, served a newer revision than
     * the given one, so that this router must not start serving it.
     */
    boolean mustWaitForNewerThan(long revision) {
        return !served && highestAtPeers > revision;
    }

    void unlink(String peer) {
        if (links.remove(peer)) {
            adoption.peerLost(peer);
            check();
        }
    }

    /**
     * Checks that the revision never reverts, that serving does not start early or with an old revision, and that the
     * head is one that an operator wrote.
     */
    void checkInvariants() {
        long revision = adoption.revision();
        simulation.checkInvariant(revision >= highestAdopted, "the adopted revision fell");
        highestAdopted = revision;
        if (adoption.mayServe() && !served) {
            served = true;
            boolean waited = Duration.between(startedAt, simulation.clock.instant())
                            .compareTo(ConfigAdoption.STARTUP_PEER_TIMEOUT)
                    >= 0;
            simulation.checkInvariant(servingPeerReported || waited, "served before a serving peer answered");
            simulation.checkInvariant(revision >= highestAtPeers, "served an older revision than a peer");
        }
        adoption.adopted()
                .ifPresent(h -> simulation.checkInvariant(
                        h.activePreset().equals(simulation.presetOf(h.revision())), "two presets in one revision"));
    }
}
