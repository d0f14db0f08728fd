package io.hornbeamfield.router.control.internal;

import io.hornbeamfield.core.budget.Reservation;
import io.hornbeamfield.core.budget.TransferGrant;
import io.hornbeamfield.core.result.Result;
import io.hornbeamfield.net.peer.PeerLink;
import io.hornbeamfield.net.peer.PeerMessage;
import io.hornbeamfield.router.BudgetService;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/** Manages the allotments of all budgets that this router draws on. */
final class AllotmentController implements BudgetService, PeerHandler {
    private static final Duration RECONCILE_PERIOD = Duration.ofSeconds(1);

    private final ControlContext context;
    private final PlatformHealth health = new PlatformHealth();
    private final AccountTable accounts;

    /** A budget in the state dump. */
    record BudgetState(
            long available,
            long reserved,
            long spent,
            long sentOut,
            long receivedIn,
            int waiting,
            double demandPerSecond) {}

    AllotmentController(ControlContext context, PeerEventDispatcher peers) {
        this.context = context;
        this.accounts = new AccountTable(budget -> new BudgetAccount(context, peers, health, budget));
        peers.register(this);
    }

    void start() {
        context.loop().every(RECONCILE_PERIOD, () -> {
            accounts.all().forEach(BudgetAccount::reconcile);
            accounts.removeUnused();
        });
    }

    @Override
    public CompletableFuture<Result<Reservation>> reserve(String budget, long tokens, Duration wait) {
        Optional<BudgetAccount> account = accounts.acquire(budget);
        if (account.isEmpty()) {
            context.count("budgets.tooManyUnknown");
            return CompletableFuture.completedFuture(Result.refused(new BudgetRefusals(budget).tooManyUnknown()));
        }
        CompletableFuture<Result<Reservation>> answer = account.get().reserve(tokens, wait);
        answer.whenComplete((result, failure) -> accounts.release(budget));
        return answer;
    }

    @Override
    public void settle(Reservation reservation, long spentTokens) {
        accounts.get(reservation.budget()).ifPresent(a -> a.settle(reservation, spentTokens));
    }

    @Override
    public void received(PeerLink link, PeerMessage message) {
        if (message instanceof PeerMessage.TransferRequest request) {
            TransferGrant grant = grantTransfer(request);
            long held = accounts.get(grant.budget()).map(BudgetAccount::held).orElse(0L);
            link.send(new PeerMessage.TransferGrant(grant.transferId(), grant.budget(), grant.tokens(), held));
        } else if (message instanceof PeerMessage.TransferGrant grant) {
            accounts.get(grant.budget())
                    .ifPresent(a -> a.receiveGrant(
                            new TransferGrant(grant.transferId(), grant.budget(), grant.tokens()), grant.held()));
        }
    }

    private TransferGrant grantTransfer(PeerMessage.TransferRequest request) {
        TransferGrant grant = accounts.get(request.budget())
                .map(a -> a.grantTransfer(request.transferId(), request.tokens()))
                .orElseGet(() -> new TransferGrant(request.transferId(), request.budget(), 0));
        if (grant.tokens() > 0) {
            context.count("transfers.given");
        }
        return grant;
    }

    /** Returns all tokens to the platform; completes when the holder entries of all budgets are folded. */
    CompletableFuture<Void> close() {
        return CompletableFuture.allOf(
                accounts.all().stream().map(BudgetAccount::close).toArray(CompletableFuture[]::new));
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
