package io.hornbeamfield.core.identity;

import io.hornbeamfield.core.result.Refusal;
import io.hornbeamfield.core.result.Result;
import java.util.concurrent.CompletionStage;

/** What to do with a keyed request. */
public sealed interface Admission<T> {
    /** Run it, then report its end by {@link RequestRegistry#complete} or {@link RequestRegistry#refuse}. */
    record Run<T>() implements Admission<T> {}

    /** It is running; the stage completes when it ends. */
    record Join<T>(CompletionStage<Result<T>> result) implements Admission<T> {}

    /** It has ended; answer with the stored outcome. */
    record Replay<T>(T outcome) implements Admission<T> {}

    /** Another incarnation decides. */
    record RelayToOwner<T>(String owner) implements Admission<T> {}

    /** It is refused. */
    record Refused<T>(Refusal refusal) implements Admission<T> {}
}
