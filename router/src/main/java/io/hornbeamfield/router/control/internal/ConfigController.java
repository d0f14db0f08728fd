package io.hornbeamfield.router.control.internal;

import io.hornbeamfield.core.config.ConfigAdoption;
import io.hornbeamfield.core.config.ConfigError;
import io.hornbeamfield.core.config.ConfigFetch;
import io.hornbeamfield.core.config.ConfigHead;
import io.hornbeamfield.core.config.ConfigSnapshot;
import io.hornbeamfield.core.config.ConfigValidator;
import io.hornbeamfield.core.config.WorkspaceShard;
import io.hornbeamfield.net.json.Json;
import io.hornbeamfield.net.peer.PeerLink;
import io.hornbeamfield.net.peer.PeerMessage;
import io.hornbeamfield.net.platform.VersionedValue;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Tracks the configuration head through a long poll at the platform and the revisions in peer heartbeats. Fetches the
 * configuration from a peer when the platform does not answer.
 */
final class ConfigController implements PeerHandler {
    static final String HEAD_KEY = "config/head";
    static final Duration WATCH_WAIT = Duration.ofSeconds(10);

    private static final Logger LOG = Logger.getLogger(ConfigController.class);
    private static final Duration CHECK_PERIOD = Duration.ofMillis(500);
    /** Time after which a configuration request to a peer is repeated, in case the request or the offer was lost. */
    private static final Duration PEER_REQUEST_PERIOD = Duration.ofSeconds(2);

    private final ControlContext context;
    private final PeerEventDispatcher peers;
    private final ConfigAdoption adoption;
    private final ConfigValidator validator = new ConfigValidator();
    private final ShardFetcher shards;
    private final Backoff backoff = new Backoff(Duration.ofMillis(250), Duration.ofSeconds(2));
    private @Nullable ConfigSnapshot adopted;
    private @Nullable ConfigHead newestHead;
    private long headVersion;
    private long platformRevision;
    private long rejectedRevision;
    private boolean fetchingShards;
    private Instant peerRequestedAt = Instant.MIN;
    private volatile Confirmation confirmation = new Confirmation(0, Instant.MIN);

    private record Confirmation(long revision, Instant at) {}

    ConfigController(ControlContext context, PeerEventDispatcher peers) {
        this.context = context;
        this.peers = peers;
        this.adoption = new ConfigAdoption(context.loop().clock());
        this.shards = new ShardFetcher(context);
        peers.register(this);
    }

    void start() {
        read();
        context.loop().every(CHECK_PERIOD, this::check);
    }

    /** Returns the revision in force, or 0 before this router may serve. Thread-safe. */
    long revision() {
        return confirmation.revision();
    }

    /** Returns the age of the last confirmation, or -1 if there is none. Thread-safe. */
    long confirmationAgeMs() {
        Instant at = confirmation.at();
        return at.equals(Instant.MIN) ? -1 : Duration.between(at, context.now()).toMillis();
    }

    /**
     * Reads the head without a long poll, after every failure: an unanswered long poll would use up most of the time
     * until the configuration is stale.
     */
    private void read() {
        context.loop().onDone(context.platform().read(HEAD_KEY), this::headReceived, this::headReadFailed);
    }

    private void watch() {
        context.loop()
                .onDone(
                        context.platform().watch(HEAD_KEY, headVersion, WATCH_WAIT),
                        this::headReceived,
                        this::headReadFailed);
    }

    private void headReceived(Optional<VersionedValue> value) {
        backoff.reset();
        try {
            value.ifPresent(this::observeHead);
        } catch (RuntimeException e) {
            LOG.error("The object " + HEAD_KEY + " cannot be parsed. Write a valid configuration head.", e);
            context.count("config.unreadable");
            context.loop().after(WATCH_WAIT, this::watch);
            return;
        }
        adoption.platformReported(platformRevision);
        check();
        watch();
    }

    private void observeHead(VersionedValue value) {
        ConfigHead head = Json.read(value.value(), ConfigHead.class);
        headVersion = Math.max(headVersion, value.version());
        platformRevision = Math.max(platformRevision, head.revision());
        if (newestHead == null || head.revision() > newestHead.revision()) {
            newestHead = head;
        }
    }

    private void headReadFailed(Throwable cause) {
        context.count("config.platformFailed");
        adoption.platformFailed();
        check();
        context.loop().after(backoff.nextDelay(), this::read);
    }

    private void check() {
        adoption.nextFetch().ifPresent(this::fetch);
        publish();
    }

    private void fetch(ConfigFetch fetch) {
        if (fetch.revision() <= rejectedRevision) {
            return;
        }
        if (fetch instanceof ConfigFetch.FromPeer peer) {
            requestFromPeer(peer);
        } else if (newestHead != null && newestHead.revision() > adoption.revision() && !fetchingShards) {
            fetchShards(newestHead);
        }
    }

    private void requestFromPeer(ConfigFetch.FromPeer fetch) {
        if (Duration.between(peerRequestedAt, context.now()).compareTo(PEER_REQUEST_PERIOD) < 0) {
            return;
        }
        peerRequestedAt = context.now();
        peers.link(fetch.peer()).ifPresent(link -> link.send(new PeerMessage.ConfigRequest(fetch.revision())));
    }

    private void fetchShards(ConfigHead head) {
        fetchingShards = true;
        context.loop()
                .onDone(
                        shards.fetch(head, adopted),
                        fetchedShards -> {
                            fetchingShards = false;
                            adopt(head, fetchedShards);
                        },
                        failure -> {
                            // The periodic check retries.
                            fetchingShards = false;
                            context.count("config.shardFailed");
                        });
    }

    private void adopt(ConfigHead head, Map<String, WorkspaceShard> fetchedShards) {
        if (head.revision() <= adoption.revision() || head.revision() <= rejectedRevision) {
            return;
        }
        List<ConfigError> errors = validator.check(head, fetchedShards);
        if (!errors.isEmpty()) {
            rejectedRevision = head.revision();
            context.count("config.rejected");
            LOG.errorf(
                    "Configuration revision %d is not adopted: %s. Write a corrected revision.",
                    head.revision(), errors);
            return;
        }
        if (adoption.offer(head)) {
            adopted = new ConfigSnapshot(head, fetchedShards);
            LOG.infof("Configuration revision %d adopted, preset %s.", head.revision(), head.activePreset());
        }
        check();
    }

    private void publish() {
        ConfigSnapshot snapshot = adopted;
        if (snapshot != null && adoption.mayServe() && isUnpublished(snapshot)) {
            context.blackboard().publishConfig(snapshot);
        }
        long age = adoption.confirmationAgeMs();
        confirmation = new Confirmation(
                adoption.servedRevision(), age < 0 ? Instant.MIN : context.now().minusMillis(age));
        boolean stale = adoption.isStale();
        if (stale != context.blackboard().configStale()) {
            context.blackboard().publishConfigStale(stale);
            LOG.infof("Configuration revision %d is %s.", adoption.revision(), stale ? "stale" : "confirmed");
        }
    }

    private boolean isUnpublished(ConfigSnapshot snapshot) {
        return context.blackboard().config().filter(c -> c == snapshot).isEmpty();
    }

    @Override
    public void received(PeerLink link, PeerMessage message) {
        if (message instanceof PeerMessage.Heartbeat beat) {
            adoption.peerReported(link.peer().incarnation(), beat.configRevision(), beat.configAgeMs());
            check();
        } else if (message instanceof PeerMessage.ConfigRequest request) {
            offer(link, request);
        } else if (message instanceof PeerMessage.ConfigOffer offer) {
            peerRequestedAt = Instant.MIN;
            adopt(offer.head(), offer.shards());
        }
    }

    private void offer(PeerLink link, PeerMessage.ConfigRequest request) {
        ConfigSnapshot snapshot = adopted;
        if (snapshot == null || snapshot.head().revision() < request.revision()) {
            return;
        }
        try {
            link.send(new PeerMessage.ConfigOffer(snapshot.head(), snapshot.shards()));
        } catch (IllegalArgumentException e) {
            LOG.error("The configuration is too large for a peer frame. Make the workspaces fewer or smaller.", e);
        }
    }

    @Override
    public void unlinked(PeerLink link) {
        adoption.peerLost(link.peer().incarnation());
        check();
    }
}
