package io.hornbeamfield.entry.control;

import io.hornbeamfield.core.discovery.BackendDirectory;
import io.hornbeamfield.core.discovery.BackendServer;
import io.hornbeamfield.entry.Blackboard;
import io.hornbeamfield.entry.EventLog;
import io.hornbeamfield.platform.BackendDecoder;
import io.hornbeamfield.platform.StoreClient;
import io.hornbeamfield.platform.StoreList;
import io.hornbeamfield.platform.WatchResult;
import java.time.Clock;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/** Publishes the backend servers that accept new requests. */
final class BackendController implements StoreWatcher.Listener {
    private final StoreClient store;
    private final ScheduledExecutorService control;
    private final BackendDirectory directory;
    private final Blackboard blackboard;
    private final EventLog log;
    private final StreamVersionController streamVersions;
    private boolean confirmationInProgress;

    BackendController(
            StoreClient store,
            ScheduledExecutorService control,
            Clock clock,
            Blackboard blackboard,
            EventLog log,
            StreamVersionController streamVersions) {
        this.store = store;
        this.control = control;
        this.directory = new BackendDirectory(clock);
        this.blackboard = blackboard;
        this.log = log;
        this.streamVersions = streamVersions;
    }

    @Override
    public void onStoreRestored() {
        directory.storeRestored();
        streamVersions.storeRestored();
    }

    @Override
    public void onList(StoreList list) {
        List<BackendServer> servers = decode(list);
        directory.replaceAll(servers);
        log.event("servers-listed")
                .field("count", servers.size())
                .field("revision", list.revision().number())
                .write();
        publish();
    }

    private static List<BackendServer> decode(StoreList list) {
        return list.objects().stream()
                .map(BackendDecoder::decode)
                .flatMap(Optional::stream)
                .toList();
    }

    @Override
    public void onChange(WatchResult.Change change) {
        Optional<BackendServer> server = change.removed() ? Optional.empty() : BackendDecoder.decode(change.object());
        if (server.isPresent()) {
            putChanged(server.get(), change.object().revision().number());
        } else {
            boolean kept = directory.remove(change.object().name());
            log.event("server-removed")
                    .field("server", change.object().name())
                    .field("kept", kept ? "until the grace ends" : "no")
                    .write();
        }
        publish();
    }

    private void putChanged(BackendServer server, long revision) {
        Optional<BackendServer> before = directory.find(server.id());
        directory.put(server);
        if (before.isEmpty() || !before.get().equals(server)) {
            log.event("server-changed")
                    .field("server", server.id())
                    .field("service", server.service())
                    .field("address", server.address())
                    .field("leaving", server.leaving() ? 1 : 0)
                    .field("revision", revision)
                    .write();
        }
    }

    /** Verifies with the store servers that did not register again after an outage. Called a few times per second. */
    void tick() {
        if (!confirmationInProgress && directory.confirmationDue()) {
            confirmationInProgress = true;
            store.list(StoreClient.BACKEND_SERVER_KIND).whenCompleteAsync(this::onConfirmationList, control);
        }
    }

    private void onConfirmationList(@Nullable StoreList list, @Nullable Throwable failure) {
        confirmationInProgress = false;
        if (list == null) {
            log.event("servers-unconfirmed")
                    .field("reason", String.valueOf(failure))
                    .write();
            directory.storeLost();
            return;
        }
        List<String> dropped = directory.dropUnlisted(decode(list));
        if (!dropped.isEmpty()) {
            log.event("servers-dropped")
                    .field("servers", String.join(",", dropped))
                    .field("revision", list.revision().number())
                    .write();
            publish();
        }
    }

    private void publish() {
        streamVersions.registered(directory.all());
        blackboard.servers(directory.all().stream()
                .filter(s -> !s.leaving())
                .collect(Collectors.groupingBy(BackendServer::service)));
    }

    @Override
    public void onStoreLost(String reason) {
        directory.storeLost();
        streamVersions.storeLost();
    }

    @Override
    public void onStoreRecovered(long ageMs) {
        directory.storeReturned();
    }
}
