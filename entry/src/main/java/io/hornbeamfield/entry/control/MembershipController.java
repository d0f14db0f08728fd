package io.hornbeamfield.entry.control;

import com.fasterxml.jackson.databind.JsonNode;
import io.hornbeamfield.core.discovery.AddressSelection;
import io.hornbeamfield.core.discovery.CheckedInstances;
import io.hornbeamfield.core.discovery.InstanceLoads;
import io.hornbeamfield.core.discovery.RecentReadiness;
import io.hornbeamfield.core.prepaid.LedgerWriters;
import io.hornbeamfield.core.store.RewrittenEntries;
import io.hornbeamfield.core.store.StoreRevision;
import io.hornbeamfield.entry.Blackboard;
import io.hornbeamfield.entry.Blackboard.Member;
import io.hornbeamfield.entry.EventLog;
import io.hornbeamfield.entry.LoadSharing;
import io.hornbeamfield.net.http.HttpCall;
import io.hornbeamfield.net.http.HttpClient;
import io.hornbeamfield.net.http.HttpReply;
import io.hornbeamfield.net.json.Json;
import io.hornbeamfield.platform.StoreClient;
import io.hornbeamfield.platform.StoreList;
import io.hornbeamfield.platform.StoreObject;
import io.hornbeamfield.platform.Wire;
import io.hornbeamfield.platform.WriteResult;
import java.io.UncheckedIOException;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Maintains the list of instances that accept requests. Each instance registers itself in the store and checks the
 * readiness of the others. In a large fleet each instance checks only some of the others and removes the registration
 * of one that does not respond, so that the rest of the fleet learns of it. An instance whose registration is missing
 * registers again.
 */
final class MembershipController {
    static final String KIND = "entries";
    private static final Duration CHECK_TIMEOUT = Duration.ofMillis(700);
    private static final int FAILURE_THRESHOLD = 2;

    private static final long REGISTER_RETRY_MS = 300;

    /** An instance registers again after its next read of the list, and the others see that in one of their next. */
    private static final long REREGISTRATION_MS = 5_000;

    private final StoreClient store;
    private final HttpClient http;
    private final ScheduledExecutorService control;
    private final Blackboard blackboard;
    private final EventLog log;
    private final Member self;
    private final PeerTransfers peers;
    private final LoadSharing sharing;
    private final InstanceLoads loads;
    private final Map<String, Member> registered = new HashMap<>();
    private final Map<String, StoreRevision> revisions = new HashMap<>();
    private final Map<String, Integer> consecutiveFailures = new HashMap<>();
    private final Set<String> notReady = new HashSet<>();
    private Set<String> writers = Set.of();
    private final RecentReadiness readiness;
    private final RewrittenEntries<Member> rewritten;
    private boolean isRegistered;
    private StoreRevision ownRevision = StoreRevision.NONE;
    private boolean listed;

    MembershipController(
            StoreClient store,
            HttpClient http,
            Clock clock,
            ScheduledExecutorService control,
            Blackboard blackboard,
            EventLog log,
            Member self,
            PeerTransfers peers,
            LoadSharing sharing,
            RecentReadiness readiness) {
        this.readiness = readiness;
        this.store = store;
        this.http = http;
        this.control = control;
        this.blackboard = blackboard;
        this.log = log;
        this.self = self;
        this.peers = peers;
        this.sharing = sharing;
        this.loads = sharing.loads();
        this.rewritten = new RewrittenEntries<>(clock, REREGISTRATION_MS);
        blackboard.self(self);
        blackboard.mayBeNamed(readiness::mayBeNamed);
    }

    void register() {
        store.replace(KIND, self.name(), Json.tree(self))
                .thenCompose(r -> r instanceof WriteResult.Conflict
                        ? store.create(KIND, self.name(), Json.tree(self))
                        : CompletableFuture.completedFuture(r))
                .whenCompleteAsync(this::onRegistered, control);
    }

    private void onRegistered(@Nullable WriteResult reply, @Nullable Throwable failure) {
        if (!(reply instanceof WriteResult.Stored s)) {
            log.event("register-failed")
                    .field("reason", reply == null ? String.valueOf(failure) : reply.toString())
                    .write();
            control.schedule(this::register, REGISTER_RETRY_MS, TimeUnit.MILLISECONDS);
        } else {
            isRegistered = true;
            ownRevision = s.object().revision();
        }
    }

    /** Reads the registered instances from the store. */
    void refresh() {
        store.listStale(KIND).whenCompleteAsync(this::onListed, control);
    }

    private void onListed(@Nullable StoreList list, @Nullable Throwable failure) {
        if (list == null) {
            log.event("members-unread").field("reason", String.valueOf(failure)).write();
            return;
        }
        Map<String, Member> listedMembers = new HashMap<>();
        revisions.clear();
        for (StoreObject o : list.objects()) {
            decodeMember(o.content()).ifPresent(m -> {
                listedMembers.put(m.name(), m);
                revisions.put(m.name(), o.revision());
            });
        }
        registered.clear();
        registered.putAll(rewritten.listed(list.revision(), listedMembers));
        reregisterIfLost(list.revision(), Optional.ofNullable(listedMembers.get(self.name())));
        List<LedgerWriters.Candidate> candidates = registered.values().stream()
                .map(m -> new LedgerWriters.Candidate(m.name(), m.capacity()))
                .toList();
        updateLedgerWriters(LedgerWriters.of(candidates));
        peers.updateMembers(registered.values(), self.name());
        loads.retain(registered.keySet());
        if (!listed && readiness.requiresAnswer()) {
            listed = true;
            // The others are named to callers only after they have answered, so they are published as checked.
            checkReadiness();
        }
        publish();
    }

    private void updateLedgerWriters(Set<String> names) {
        if (!names.equals(writers)) {
            writers = names;
            blackboard.ledgerWriters(names);
            log.event("ledger-writers")
                    .field("writers", String.join(",", names))
                    .field("instances", registered.size())
                    .write();
        }
    }

    /** Registers again if the registration was removed or the store came back from a copy with an earlier one. */
    private void reregisterIfLost(StoreRevision at, Optional<Member> listedSelf) {
        boolean lost = listedSelf.isEmpty()
                || (!at.isOfGenerationOf(ownRevision) && !listedSelf.get().equals(self));
        if (lost && isRegistered && !blackboard.stopping()) {
            log.event("registration-missing")
                    .field("instances", registered.size())
                    .write();
            register();
        }
    }

    /** Removes the registration of this instance in a large fleet, where most others rely on it alone. */
    void unregisterSelf() {
        StoreRevision revision = revisions.get(self.name());
        if (revision != null && CheckedInstances.isLargeFleet(registered.size() - 1)) {
            unregister(self, revision, "leaving");
        }
    }

    private void unregister(Member member, StoreRevision revision, String reason) {
        store.delete(KIND, member.name(), revision)
                .whenCompleteAsync(
                        (reply, failure) -> log.event("unregistered")
                                .field("member", member.name())
                                .field("reason", reason)
                                .field("revision", revision.number())
                                .field("outcome", reply == null ? String.valueOf(failure) : reply.toString())
                                .write(),
                        control);
    }

    private Optional<Member> decodeMember(JsonNode node) {
        try {
            return Optional.of(Json.read(node, Member.class));
        } catch (UncheckedIOException e) {
            log.event("member-unreadable")
                    .field("reason", String.valueOf(e.getMessage()))
                    .write();
            return Optional.empty();
        }
    }

    /** Checks the readiness of other instances. */
    void checkReadiness() {
        Set<String> others = new HashSet<>(registered.keySet());
        others.remove(self.name());
        Set<String> checked = CheckedInstances.of(self.name(), others);
        consecutiveFailures.keySet().retainAll(checked);
        notReady.retainAll(checked);
        readiness.checked(checked);
        long startedMs = readiness.checkStartedMs();
        boolean asksForLoads = AddressSelection.applies(
                registered.values().stream().map(Member::instance).toList());
        for (Member m : registered.values()) {
            if (checked.contains(m.name())) {
                HttpCall.Builder call = HttpCall.get("http://" + m.readinessAddress() + Wire.READY_PATH)
                        .timeout(CHECK_TIMEOUT);
                if (asksForLoads) {
                    call.header(LoadSharing.REPORT_HEADER, "1");
                }
                http.send(call.build()).whenCompleteAsync((r, f) -> onChecked(m, r, startedMs), control);
            }
        }
    }

    private void onChecked(Member member, @Nullable HttpReply reply, long startedMs) {
        boolean ready = reply != null && reply.isSuccess();
        if (ready) {
            readiness.ready(member.name(), startedMs);
        }
        boolean wasUp = isUp(member);
        if (reply != null && ready) {
            String report = reply.headers().getOrDefault(LoadSharing.REPORT_HEADER.toLowerCase(Locale.ROOT), "");
            loads.received(member.name(), report, registered.keySet());
        }
        // A negative response is definite; a missing one may be due to a network partition.
        if (reply != null && !ready) {
            notReady.add(member.name());
        } else {
            notReady.remove(member.name());
        }
        consecutiveFailures.put(
                member.name(), reply == null ? consecutiveFailures.getOrDefault(member.name(), 0) + 1 : 0);
        if (wasUp != isUp(member)) {
            log.event(wasUp ? "member-down" : "member-up")
                    .field("member", member.name())
                    .field("answer", reply == null ? "none" : Integer.toString(reply.status()))
                    .write();
        }
        publish();
    }

    private boolean isUp(Member member) {
        return !notReady.contains(member.name()) && !isSilent(member);
    }

    private boolean isSilent(Member member) {
        return consecutiveFailures.getOrDefault(member.name(), 0) >= FAILURE_THRESHOLD;
    }

    private void publish() {
        List<Member> others = registered.values().stream()
                .filter(m -> !m.name().equals(self.name()) && !notReady.contains(m.name()))
                .toList();
        List<Member> silent = others.stream().filter(this::isSilent).toList();
        boolean large = CheckedInstances.isLargeFleet(registered.size() - 1);
        boolean atFault = CheckedInstances.isProbablyAtFault(silent.size(), others.size(), sharing.linkFull());
        List<Member> next = new ArrayList<>(others);
        if (!atFault) {
            next.removeAll(silent);
            if (large) {
                silent.forEach(this::unregisterSilent);
            }
        }
        next.add(self);
        blackboard.members(next);
    }

    /** Removes a registration at most once per list: its revision is forgotten until the next list. */
    private void unregisterSilent(Member member) {
        StoreRevision revision = revisions.remove(member.name());
        if (revision != null) {
            unregister(member, revision, "silent");
        }
    }
}
