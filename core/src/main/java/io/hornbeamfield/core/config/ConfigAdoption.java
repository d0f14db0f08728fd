package io.hornbeamfield.core.config;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Decides which configuration revision a router adopts, when the router may start serving, when its configuration is
 * stale, and where to fetch a newer revision from. Performs no I/O. Confined to the control thread.
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
    /** Maximum age of the last confirmation of the adopted revision; after this time the configuration is stale. */
    public static final Duration STALE_AFTER = Duration.ofSeconds(17);

    /**
     * Maximum time after startup for which a router waits for the revision of a serving peer, because a head read from
     * the platform can come from a stale replica. Connected peers report within about 2 s of startup: one dial, then
     * one heartbeat.
     */
    public static final Duration STARTUP_PEER_TIMEOUT = Duration.ofSeconds(3);

    /**
     * Added to the confirmation age that a peer reports. It exceeds the latency of a heartbeat, so that two routers
     * partitioned from the platform cannot refresh each other's confirmation by echoing it.
     */
    private static final Duration PEER_AGE_MARGIN = Duration.ofSeconds(1);

    private static final long MAX_PEER_AGE_MS = Duration.ofDays(1).toMillis();

    private final Clock clock;
    private final Map<String, PeerReport> peers = new HashMap<>();
    private Optional<ConfigHead> adopted = Optional.empty();
    private Instant confirmedAt = Instant.MIN;
    private boolean platformAvailable = true;
    private long platformRevision;
    private Instant platformReportedAt = Instant.MIN;
    private final Instant startedAt;
    private boolean servingPeerReported;
    private long highestPeerRevision;
    private boolean serving;

    private record PeerReport(long revision, Instant confirmedAt) {}

    public ConfigAdoption(Clock clock) {
        this.clock = clock;
        this.startedAt = clock.instant();
    }

    /** Adopts a head if its revision is newer than the adopted one. Returns whether it was adopted. */
    public boolean offer(ConfigHead head) {
        if (head.revision() <= revision()) {
            return false;
        }
        adopted = Optional.of(head);
        // Confirmations of the previous revision do not apply to this one.
        confirmedAt = Instant.MIN;
        updateConfirmation();
        return true;
    }

    /** Records the revision that the platform reported; 0 if it has no configuration. */
    public void platformReported(long revision) {
        platformAvailable = true;
        platformRevision = revision;
        platformReportedAt = clock.instant();
        updateConfirmation();
    }

    /** Records that a call to the platform failed. */
    public void platformFailed() {
        platformAvailable = false;
    }

    /**
     * Records the revision that a peer serves and the age of its confirmation. Revision 0 means that the peer is not
     * serving yet; a negative age means that it has no confirmation.
     */
    public void peerReported(String peer, long revision, long confirmationAgeMs) {
        Instant at = confirmationAgeMs < 0
                ? Instant.MIN
                : clock.instant().minus(PEER_AGE_MARGIN).minusMillis(Math.min(confirmationAgeMs, MAX_PEER_AGE_MS));
        peers.put(peer, new PeerReport(revision, at));
        servingPeerReported |= revision > 0;
        highestPeerRevision = Math.max(highestPeerRevision, revision);
        updateConfirmation();
    }

    /**
     * Removes a peer whose connection has closed. Its revision still counts for the startup check in {@link #mayServe}.
     */
    public void peerLost(String peer) {
        peers.remove(peer);
        updateConfirmation();
    }

    /** Returns the adopted head. */
    public Optional<ConfigHead> adopted() {
        return adopted;
    }

    /** Returns the adopted revision, or 0 if there is none. */
    public long revision() {
        return adopted.map(ConfigHead::revision).orElse(0L);
    }

    /**
     * Returns whether this router may serve. To start serving, it must have adopted a revision at least as new as that
     * of every peer that has reported, and either a serving peer must have reported or {@link #STARTUP_PEER_TIMEOUT}
     * must have passed since startup. Once it serves, a newer revision elsewhere does not stop it.
     */
    public boolean mayServe() {
        serving = serving
                || (revision() > 0
                        && revision() >= highestPeerRevision
                        && (servingPeerReported || startupTimeoutExpired()));
        return serving;
    }

    private boolean startupTimeoutExpired() {
        return Duration.between(startedAt, clock.instant()).compareTo(STARTUP_PEER_TIMEOUT) >= 0;
    }

    /** Returns the revision to report in heartbeats: the adopted revision, or 0 while this router may not serve. */
    public long servedRevision() {
        return mayServe() ? revision() : 0;
    }

    /** Returns the age of the last confirmation in milliseconds, or -1 if there is none; reported in heartbeats. */
    public long confirmationAgeMs() {
        return confirmedAt.equals(Instant.MIN)
                ? -1
                : Duration.between(confirmedAt, clock.instant()).toMillis();
    }

    /** Returns whether the adopted revision has not been confirmed for {@link #STALE_AFTER}. */
    public boolean isStale() {
        long age = confirmationAgeMs();
        return age < 0 || age >= STALE_AFTER.toMillis();
    }

    /** Returns whether new requests are refused because the configuration is stale. */
    public boolean refusesNewWork() {
        return isStale()
                && adopted.filter(h -> h.preset().staleConfigPolicy() == StaleConfigPolicy.REFUSE)
                        .isPresent();
    }

    /**
     * Returns where to fetch the newest known revision from, or empty if it is already adopted. The platform is
     * preferred; a peer is used when the platform is unavailable or last reported an older revision than the peer.
     */
    public Optional<ConfigFetch> nextFetch() {
        Optional<ConfigFetch.FromPeer> peer = newestPeer();
        long peerRevision = peer.map(ConfigFetch::revision).orElse(0L);
        if (platformAvailable && platformRevision > revision() && platformRevision >= peerRevision) {
            return Optional.of(new ConfigFetch.FromPlatform(platformRevision));
        }
        return peer.filter(p -> p.revision() > revision()).map(p -> p);
    }

    private Optional<ConfigFetch.FromPeer> newestPeer() {
        return peers.entrySet().stream()
                .map(e -> new ConfigFetch.FromPeer(e.getKey(), e.getValue().revision()))
                .max(Comparator.comparingLong(ConfigFetch::revision));
    }

    private void updateConfirmation() {
        if (platformRevision == revision()) {
            confirmAt(platformReportedAt);
        }
        peers.values().stream().filter(p -> p.revision() == revision()).forEach(p -> confirmAt(p.confirmedAt()));
    }

    private void confirmAt(Instant at) {
        if (at.isAfter(confirmedAt)) {
            confirmedAt = at;
        }
    }
}
