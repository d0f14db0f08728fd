package io.hornbeamfield.core.result;

import java.util.function.Function;

/**
 * Either a value or the refusal that explains why there is none.
 *
 * <pre>{@code
 * Result<RequestKey> result = RequestKey.parse(text);
 * if (result instanceof Result.Ok<RequestKey> ok) {
 *     use(ok.value());
 * }
 * }</pre>
 */
public sealed interface Result<T> {

    /** A successful result. */
    record Ok<T>(T value) implements Result<T> {}

    /** A refused result. */
    record Refused<T>(Refusal refusal) implements Result<T> {}

    /** Returns a successful result. */
    static <T> Result<T> ok(T value) {
        return new Ok<>(value);
    }

    /** Returns a refused result. */
    static <T> Result<T> refused(Refusal refusal) {
        return new Refused<>(refusal);
    }

    /** Returns a refused result without a retry delay. */
    static <T> Result<T> refused(ResultCode code, String detail) {
        return new Refused<>(Refusal.of(code, detail));
    }

    /** Applies one of two functions, depending on the outcome. */
    default <R> R fold(Function<? super T, ? extends R> onOk, Function<? super Refusal, ? extends R> onRefused) {
        if (this instanceof Ok<T> ok) {
            return onOk.apply(ok.value());
        }
        return onRefused.apply(((Refused<T>) this).refusal());
    }

    /** Transforms the value, keeping a refusal as it is. */
    default <R> Result<R> map(Function<? super T, ? extends R> f) {
        return fold(v -> ok(f.apply(v)), Result::refused);
    }
}
