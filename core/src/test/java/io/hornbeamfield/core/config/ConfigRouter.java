package io.hornbeamfield.core.config;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** One router incarnation in the search, with the calls that its controller makes around the adoption. */
final class ConfigRouter {
    /** A watch without an answer ends by then: 10 s of waiting and the limit of the call. */
    private static final Duration READ_LIMIT = Duration.ofSeconds(13);

    private static final Duration PEER_REQUEST_PERIOD = Duration.ofSeconds(2);

    final ConfigWorld world;
    final int index;
    final String incarnation;
    final Adoption adoption;
    final Instant startedAt;
    final Set<String> links = new HashSet<>();
    boolean paused;
    boolean gone;
    boolean reading;
    private Instant readAt = Instant.EPOCH;
    private Instant askedAt = Instant.EPOCH;
    private @Nullable ConfigHead newest;
    private long platformRevision;
    private long highest;
    private long highestAtPeers;
    private boolean servingPeerAnswered;
    private boolean served;

    ConfigRouter(ConfigWorld world, int index, String incarnation) {
        this.world = world;
        this.index = index;
        this.incarnation = incarnation;
        this.adoption = world.newAdoption();
        this.startedAt = world.clock.instant();
    }

    boolean active() {
        return !paused && !gone;
    }

    boolean read(int behind) {
        if (reading) {
            return false;
        }
        reading = true;
        readAt = world.clock.instant();
        world.send(ConfigWorld.PLATFORM, null, () -> {
            Optional<ConfigHead> answer = world.outage ? Optional.empty() : Optional.of(world.head(behind));
            world.send(index, this, () -> answered(answer));
        });
        return true;
    }

    private void answered(Optional<ConfigHead> head) {
        reading = false;
        if (head.isEmpty()) {
            adoption.real.platformFailed();
            check();
            return;
        }
        platformRevision = Math.max(platformRevision, head.get().revision());
        if (newest == null || head.get().revision() >= newest.revision()) {
            newest = head.get();
        }
        adoption.real.platformReported(platformRevision);
        check();
    }

    /** What the periodic check of the controller does. */
    void check() {
        if (reading && Duration.between(readAt, world.clock.instant()).compareTo(READ_LIMIT) >= 0) {
            reading = false;
            adoption.real.platformFailed();
        }
        adoption.nextFetch().ifPresent(fetch -> {
            if (fetch instanceof ConfigFetch.FromPeer peer) {
                ask(peer.peer(), peer.revision());
            } else if (newest != null) {
                adoption.offer(newest);
            }
        });
        verify();
    }

    private void ask(String peer, long revision) {
        if (Duration.between(askedAt, world.clock.instant()).compareTo(PEER_REQUEST_PERIOD) < 0) {
            return;
        }
        askedAt = world.clock.instant();
        world.incarnation(peer)
                .ifPresent(p -> world.send(
                        p.index,
                        p,
                        () -> p.adoption
                                .adopted()
                                .filter(h -> h.revision() >= revision)
                                .ifPresent(head -> world.send(index, this, () -> {
                                    askedAt = Instant.EPOCH;
                                    adoption.offer(head);
                                    check();
                                }))));
    }

    void beat(ConfigRouter peer) {
        boolean serves = serves();
        long revision = adoption.announced();
        long age = adoption.real.confirmationAgeMs();
        long had = adoption.revision();
        world.send(peer.index, peer, () -> peer.heard(incarnation, revision, age, serves ? had : 0));
    }

    private void heard(String peer, long revision, long age, long truth) {
        if (!served) {
            highestAtPeers = Math.max(highestAtPeers, truth);
            servingPeerAnswered |= truth > 0;
        }
        links.add(peer);
        adoption.peerReported(peer, revision, age);
        check();
    }

    boolean serves() {
        verify();
        return served;
    }

    /**
     * Returns whether a peer that is gone had a newer revision than this, so that the router must not start with it.
     */
    boolean waitsForMoreThan(long revision) {
        return !served && highestAtPeers > revision;
    }

    void unlink(String peer) {
        if (links.remove(peer)) {
            adoption.peerLost(peer);
            check();
        }
    }

    /** Fails on a reversion, on an early or old start and on a head that no operator wrote. */
    void verify() {
        long revision = adoption.revision();
        world.unless(revision >= highest, "the adopted revision fell");
        highest = revision;
        if (adoption.mayServe() && !served) {
            served = true;
            boolean waited =
                    Duration.between(startedAt, world.clock.instant()).compareTo(ConfigAdoption.STARTUP_PEER_TIMEOUT)
                            >= 0;
            world.unless(servingPeerAnswered || waited, "served before a serving peer answered");
            world.unless(revision >= highestAtPeers, "served an older revision than a peer");
        }
        adoption.adopted()
                .ifPresent(h -> world.unless(
                        h.activePreset().equals(world.presetOf(h.revision())), "two presets in one revision"));
    }
}
