package io.hornbeamfield.core.config;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Decides which configuration a router has in force, when it may serve, when its configuration is stale and from where
 * it fetches a newer one. Does no I/O; used on the control thread only.
 *
 * <pre>{@code
 * ConfigAdoption adoption = new ConfigAdoption(clock);
 * adoption.platformReported(head.revision());
 * if (adoption.offer(head)) {
 *     blackboard.publishConfig(new ConfigSnapshot(head, shards));
 * }
 * adoption.nextFetch().ifPresent(this::fetch);
 * }</pre>
 */
public final class ConfigAdoption {
    /** Time without a confirmation of the adopted revision after which the configuration is stale. */
    public static final Duration STALE_AFTER = Duration.ofSeconds(17);

    /**
     * Time after the start in which a router waits for the revision of a serving peer. A head that it reads from the
     * platform can be an old copy. Linked peers answer within about 2 s of the start: one dial, then one heartbeat.
     */
    public static final Duration STARTUP_PEER_TIMEOUT = Duration.ofSeconds(3);

    /**
     * Added to the age that a peer reports. It is longer than the way of a heartbeat, so that two routers that are both
     * cut off from the platform cannot keep each other's confirmation alive by passing it back and forth.
     */
    private static final Duration HOP_MARGIN = Duration.ofSeconds(1);

    private static final long MAX_AGE_MS = Duration.ofDays(1).toMillis();

    private final Clock clock;
    private final Map<String, PeerReport> peers = new HashMap<>();
    private Optional<ConfigHead> adopted = Optional.empty();
    private Instant confirmedAt = Instant.MIN;
    private boolean platformAvailable = true;
    private long platformRevision;
    private Instant platformAnsweredAt = Instant.MIN;
    private final Instant startedAt;
    private boolean peerAnswered;
    private long newestAtPeers;
    private boolean serving;

    private record PeerReport(long revision, Instant confirmedAt) {}

    public ConfigAdoption(Clock clock) {
        this.clock = clock;
        this.startedAt = clock.instant();
    }

    /** Adopts a head if it is newer than the one in force. Returns whether it was adopted. */
    public boolean offer(ConfigHead head) {
        if (head.revision() <= revision()) {
            return false;
        }
        adopted = Optional.of(head);
        // What confirmed the earlier revision says nothing about this one.
        confirmedAt = Instant.MIN;
        update();
        return true;
    }

    /** Records that the platform answered with the given revision; 0 when it holds no configuration. */
    public void platformReported(long revision) {
        platformAvailable = true;
        platformRevision = revision;
        platformAnsweredAt = clock.instant();
        update();
    }

    /** Records that a call to the platform failed. */
    public void platformFailed() {
        platformAvailable = false;
    }

    /**
     * Records the revision that a peer serves and the age of its confirmation; revision 0 means that the peer does not
     * serve yet, a negative age that it has no confirmation.
     */
    public void peerReported(String peer, long revision, long confirmationAgeMs) {
        Instant at = confirmationAgeMs < 0
                ? Instant.MIN
                : clock.instant().minus(HOP_MARGIN).minusMillis(Math.min(confirmationAgeMs, MAX_AGE_MS));
        peers.put(peer, new PeerReport(revision, at));
        peerAnswered |= revision > 0;
        newestAtPeers = Math.max(newestAtPeers, revision);
        update();
    }

    /** Forgets a peer whose link has closed. A starting router still needs the revision that the peer had. */
    public void peerLost(String peer) {
        peers.remove(peer);
        update();
    }

    /** Returns the head in force. */
    public Optional<ConfigHead> adopted() {
        return adopted;
    }

    /** Returns the revision in force, 0 if there is none. */
    public long revision() {
        return adopted.map(ConfigHead::revision).orElse(0L);
    }

    /**
     * Returns whether this router may serve: it has adopted a head that is at least as new as that of every peer that
     * answered, and a serving peer has answered or {@link #STARTUP_PEER_TIMEOUT} has passed since the start. Once it
     * serves, a newer revision elsewhere does not stop it.
     */
    public boolean mayServe() {
        serving = serving || (revision() > 0 && revision() >= newestAtPeers && (peerAnswered || waitEnded()));
        return serving;
    }

    private boolean waitEnded() {
        return Duration.between(startedAt, clock.instant()).compareTo(STARTUP_PEER_TIMEOUT) >= 0;
    }

    /** Returns the revision that this router serves, for heartbeats; 0 before it may serve. */
    public long servedRevision() {
        return mayServe() ? revision() : 0;
    }

    /** Returns the age of the confirmation for heartbeats, in milliseconds, or -1 if there is none. */
    public long confirmationAgeMs() {
        return confirmedAt.equals(Instant.MIN)
                ? -1
                : Duration.between(confirmedAt, clock.instant()).toMillis();
    }

    /** Returns whether the revision in force has had no confirmation for {@link #STALE_AFTER}. */
    public boolean isStale() {
        long age = confirmationAgeMs();
        return age < 0 || age >= STALE_AFTER.toMillis();
    }

    /** Returns whether new requests are refused now because the configuration is stale. */
    public boolean refusesNewWork() {
        return isStale()
                && adopted.filter(h -> h.preset().staleConfigPolicy() == StaleConfigPolicy.REFUSE)
                        .isPresent();
    }

    /**
     * Returns what to fetch next: the newest known revision that is not in force yet. The platform is asked first; a
     * peer is asked when the platform fails, or when the platform's last answer is older than what the peer has.
     */
    public Optional<ConfigFetch> nextFetch() {
        Optional<ConfigFetch.FromPeer> peer = newestPeer();
        long atPeer = peer.map(ConfigFetch::revision).orElse(0L);
        if (platformAvailable && platformRevision > revision() && platformRevision >= atPeer) {
            return Optional.of(new ConfigFetch.FromPlatform(platformRevision));
        }
        return peer.filter(p -> p.revision() > revision()).map(p -> p);
    }

    private Optional<ConfigFetch.FromPeer> newestPeer() {
        return peers.entrySet().stream()
                .map(e -> new ConfigFetch.FromPeer(e.getKey(), e.getValue().revision()))
                .max(Comparator.comparingLong(ConfigFetch::revision));
    }

    private void update() {
        if (platformRevision == revision()) {
            confirmAt(platformAnsweredAt);
        }
        peers.values().stream().filter(p -> p.revision() == revision()).forEach(p -> confirmAt(p.confirmedAt()));
    }

    private void confirmAt(Instant at) {
        if (at.isAfter(confirmedAt)) {
            confirmedAt = at;
        }
    }
}
