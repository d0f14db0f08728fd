package io.hornbeamfield.core.identity;

import io.hornbeamfield.core.result.Refusal;
import io.hornbeamfield.core.result.Result;
import java.util.concurrent.CompletionStage;

/** The decision of a {@link RequestRegistry} about a keyed request. */
public sealed interface Admission<T> {
    /**
     * The request is new: run it, then report its result with {@link RequestRegistry#complete} or
     * {@link RequestRegistry#refuse}.
     */
    record Run<T>() implements Admission<T> {}

    /** The request is in flight; the stage completes with its result. */
    record Join<T>(CompletionStage<Result<T>> result) implements Admission<T> {}

    /** The request has finished; answer with the stored outcome. */
    record Replay<T>(T outcome) implements Admission<T> {}

    /** The key belongs to another incarnation; relay the request to it. */
    record RelayToOwner<T>(String owner) implements Admission<T> {}

    /** The request is refused. */
    record Refused<T>(Refusal refusal) implements Admission<T> {}
}
