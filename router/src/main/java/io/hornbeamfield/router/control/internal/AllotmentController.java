package io.hornbeamfield.router.control.internal;

import io.hornbeamfield.core.budget.Reservation;
import io.hornbeamfield.core.budget.TransferGrant;
import io.hornbeamfield.core.result.Result;
import io.hornbeamfield.net.peer.PeerLink;
import io.hornbeamfield.net.peer.PeerMessage;
import io.hornbeamfield.router.BudgetService;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/** Keeps the allotments of all budgets that this router draws on. */
final class AllotmentController implements BudgetService, PeerHandler {
    private static final Duration TICK = Duration.ofSeconds(1);

    private final ControlContext context;
    private final PeerHub peers;
    private final PlatformHealth health = new PlatformHealth();
    private final Map<String, BudgetAccount> accounts = new ConcurrentHashMap<>();

    /** A budget in the state dump. */
    record BudgetState(
            long available,
            long reserved,
            long spent,
            long sentOut,
            long receivedIn,
            int waiting,
            double demandPerSecond) {}

    AllotmentController(ControlContext context, PeerHub peers) {
        this.context = context;
        this.peers = peers;
        peers.register(this);
    }

    void start() {
        context.loop().every(TICK, () -> accounts.values().forEach(BudgetAccount::step));
    }

    private BudgetAccount account(String budget) {
        return accounts.computeIfAbsent(budget, b -> new BudgetAccount(context, peers, health, b));
    }

    @Override
    public CompletableFuture<Result<Reservation>> reserve(String budget, long tokens, Duration wait) {
        return account(budget).reserve(tokens, wait);
    }

    @Override
    public void settle(Reservation reservation, long spentTokens) {
        account(reservation.budget()).settle(reservation, spentTokens);
    }

    @Override
    public void received(PeerLink link, PeerMessage message) {
        if (message instanceof PeerMessage.TransferRequest request) {
            TransferGrant grant = give(link.peer().incarnation(), request);
            link.send(new PeerMessage.TransferGrant(grant.transferId(), grant.budget(), grant.tokens()));
        } else if (message instanceof PeerMessage.TransferGrant grant) {
            BudgetAccount account = accounts.get(grant.budget());
            if (account != null) {
                account.granted(new TransferGrant(grant.transferId(), grant.budget(), grant.tokens()));
            }
        }
    }

    private TransferGrant give(String peer, PeerMessage.TransferRequest request) {
        BudgetAccount account = accounts.get(request.budget());
        if (account == null) {
            return new TransferGrant(request.transferId(), request.budget(), 0);
        }
        TransferGrant grant = account.give(peer, request.transferId(), request.tokens());
        if (grant.tokens() > 0) {
            context.count("transfers.given");
        }
        return grant;
    }

    /** Returns everything to the platform; completes when all entries are folded. */
    CompletableFuture<Void> close() {
        return CompletableFuture.allOf(
                accounts.values().stream().map(BudgetAccount::close).toArray(CompletableFuture[]::new));
    }

    /** Returns the budgets for the state dump. */
    Map<String, BudgetState> state() {
        Map<String, BudgetState> state = new TreeMap<>();
        accounts.forEach((budget, a) -> state.put(
                budget,
                new BudgetState(
                        a.allotment().available(),
                        a.allotment().reserved(),
                        a.allotment().spent(),
                        a.allotment().counters().sentOut(),
                        a.allotment().counters().receivedIn(),
                        a.waiting(),
                        a.demand())));
        return state;
    }
}
