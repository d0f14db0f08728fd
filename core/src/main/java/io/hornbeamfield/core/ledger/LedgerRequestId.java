package io.hornbeamfield.core.ledger;

import io.hornbeamfield.core.identity.RequestKey;
import io.hornbeamfield.core.result.Result;
import io.hornbeamfield.core.result.ResultCode;

/**
 * Identifies a request in ledgers. Keys are scoped by workspace: the same key in two workspaces identifies two requests
 * with separate bills.
 *
 * <pre>{@code
 * String id = new LedgerRequestId(key, "plots").text();
 * Result<String> owner = LedgerRequestId.parse(id).map(LedgerRequestId::owner);
 * }</pre>
 */
public record LedgerRequestId(RequestKey key, String workspace) {
    /** Cannot occur in a key, so its first occurrence terminates the key. */
    private static final char SEPARATOR = '/';

    /** Parses the text form {@code <key>/<workspace>}. */
    public static Result<LedgerRequestId> parse(String text) {
        int end = text.indexOf(SEPARATOR);
        if (end < 0) {
            return Result.refused(ResultCode.KEY_MALFORMED, "The request id is not of the form <key>/<workspace>.");
        }
        return RequestKey.parse(text.substring(0, end)).map(key -> new LedgerRequestId(key, text.substring(end + 1)));
    }

    /** Returns the incarnation that owns the key. A search for the bill starts in its ledger. */
    public String owner() {
        return key.owner();
    }

    /** Returns the text form {@code <key>/<workspace>}. */
    public String text() {
        return key.text() + SEPARATOR + workspace;
    }
}
