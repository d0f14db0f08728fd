package io.hornbeamfield.core.identity;

import io.hornbeamfield.core.result.Result;
import io.hornbeamfield.core.result.ResultCode;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The idempotency key of a request: the router incarnation that owns it (the target of the first attempt), the time of
 * issue and a random nonce.
 *
 * <pre>{@code
 * Result<RequestKey> key = RequestKey.parse("east-1-0f3a9c21.1790000000.k7Wm2QpX");
 * }</pre>
 */
public record RequestKey(String owner, long issuedEpochSecond, String nonce) {
    private static final Pattern FORMAT =
            Pattern.compile("([a-z0-9][a-z0-9-]{0,39}-[0-9a-f]{8})\\.([0-9]{1,12})\\.([A-Za-z0-9]{8,40})");

    /** Parses the text form {@code <owner incarnation>.<epoch second>.<nonce>}. */
    public static Result<RequestKey> parse(String text) {
        Matcher m = FORMAT.matcher(text);
        if (!m.matches()) {
            return Result.refused(
                    ResultCode.KEY_MALFORMED,
                    "The key is not of the form <incarnation>.<epoch second>.<8 to 40 letters and digits>.");
        }
        return Result.ok(new RequestKey(m.group(1), Long.parseLong(m.group(2)), m.group(3)));
    }

    /** Returns the text form, which is the prefix of request ids in ledgers and at engines. */
    public String text() {
        return owner + "." + issuedEpochSecond + "." + nonce;
    }
}
