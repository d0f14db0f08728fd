package io.hornbeamfield.router.control.internal;

import io.hornbeamfield.core.budget.Reservation;
import io.hornbeamfield.core.result.Result;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;

/** A reservation request that waits for tokens. */
record PendingReservation(
        long tokens, Instant arrivedAt, Instant deadline, CompletableFuture<Result<Reservation>> answer) {}
