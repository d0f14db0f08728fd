package io.hornbeamfield.core.result;

import java.util.Arrays;
import java.util.Optional;

/**
 * Numbered reasons for refusing a request or an operator's change.
 *
 * <pre>{@code
 * ResultCode code = ResultCode.BUDGET_EXHAUSTED;
 * code.number();     // 2001
 * code.httpStatus(); // 402
 * }</pre>
 */
@SuppressWarnings("ImmutableEnumChecker")
public enum ResultCode {
    MALFORMED_REQUEST(1001, 400, Ran.NO, "The request is malformed"),
    UNAUTHENTICATED(1002, 401, Ran.NO, "The key is missing or unknown"),
    WRONG_WORKSPACE(1003, 403, Ran.NO, "The key belongs to another workspace"),
    UNKNOWN_MODEL(1004, 404, Ran.NO, "No pool serves this model"),
    UNKNOWN_POOL(1005, 404, Ran.NO, "There is no such pool"),
    TOO_LARGE(1006, 413, Ran.NO, "The request is too large"),
    KEY_MALFORMED(1007, 400, Ran.NO, "The idempotency key is malformed"),
    KEY_REQUIRED(1008, 400, Ran.NO, "This call needs an idempotency key"),
    KEY_REUSED(1009, 422, Ran.NO, "The idempotency key was used for another request"),
    INVALID_CONFIGURATION(1010, 422, Ran.NO, "The configuration is invalid"),
    UNKNOWN_PRESET(1011, 404, Ran.NO, "There is no such preset"),
    CONFLICT(1012, 409, Ran.NO, "Another change was accepted first"),
    INVALID_SETTINGS(1013, 400, Ran.NO, "The settings are invalid"),
    UNKNOWN_ROUTE(1014, 404, Ran.NO, "No route matches the request"),
    BUDGET_EXHAUSTED(2001, 402, Ran.NO, "The prepaid budget is exhausted"),
    BUDGET_BUSY(2002, 429, Ran.NO, "The prepaid budget is not available here right now"),
    NO_BUDGET(2003, 402, Ran.NO, "The workspace has no prepaid budget"),
    OVERLOADED(3001, 503, Ran.NO, "The router is overloaded"),
    DEADLINE_PASSED(3002, 504, Ran.NO, "The deadline passed before the request could start"),
    LEAVING(3003, 503, Ran.NO, "The router is shutting down"),
    NO_BACKEND(3004, 503, Ran.NO, "No backend server can take the request"),
    STARTING(3005, 503, Ran.NO, "The router has no configuration yet"),
    CONFIG_STALE(3006, 503, Ran.NO, "The router cannot confirm its configuration"),
    REGISTRY_FULL(3007, 503, Ran.NO, "The router cannot remember more requests"),
    PROMPT_QUARANTINED(3008, 503, Ran.NO, "Backend servers have crashed on a part of this prompt"),
    STREAM_ORIGIN_UNKNOWN(3009, 503, Ran.NO, "It is not known which version began the stream"),
    OUTCOME_UNKNOWN(4001, 504, Ran.UNKNOWN, "It is not known whether the request ran"),
    KEY_EXPIRED(4002, 410, Ran.UNKNOWN, "The idempotency key has expired"),
    BACKEND_FAILED(4003, 502, Ran.UNKNOWN, "The backend server failed"),
    PLATFORM_UNAVAILABLE(5001, 503, Ran.NO, "The platform does not answer"),
    INSTANCE_UNREACHABLE(5002, 503, Ran.NO, "The instance does not answer");

    private final int number;
    private final int httpStatus;
    private final Ran ran;
    private final String title;

    ResultCode(int number, int httpStatus, Ran ran, String title) {
        this.number = number;
        this.httpStatus = httpStatus;
        this.ran = ran;
        this.title = title;
    }

    /** Returns the stable number of this code. */
    public int number() {
        return number;
    }

    /** Returns the HTTP status of responses with this code. */
    public int httpStatus() {
        return httpStatus;
    }

    /** Returns whether a request refused with this code may have run. */
    public Ran ran() {
        return ran;
    }

    /** Returns a short summary that is the same for all refusals with this code. */
    public String title() {
        return title;
    }

    /** Returns the code with the given number, if there is one. */
    public static Optional<ResultCode> ofNumber(int number) {
        return Arrays.stream(values()).filter(c -> c.number == number).findFirst();
    }
}
