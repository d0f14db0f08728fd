package io.hornbeamfield.core.ledger;

import io.hornbeamfield.core.identity.RequestKey;
import io.hornbeamfield.core.result.Result;
import io.hornbeamfield.core.result.ResultCode;

/**
 * The identity of a request in ledgers. Keys are scoped by workspace, so two workspaces that use the same key text have
 * two requests and two bills.
 *
 * <pre>{@code
 * String id = new LedgerRequestId(key, "plots").text();
 * Result<String> owner = LedgerRequestId.parse(id).map(LedgerRequestId::owner);
 * }</pre>
 */
public record LedgerRequestId(RequestKey key, String workspace) {
    /** Does not occur in keys, so that the first one ends the key. */
    private static final char SEPARATOR = '/';

    /** Parses the text form {@code <key>/<workspace>}. */
    public static Result<LedgerRequestId> parse(String text) {
        int end = text.indexOf(SEPARATOR);
        if (end < 0) {
            return Result.refused(ResultCode.KEY_MALFORMED, "The request id is not of the form <key>/<workspace>.");
        }
        return RequestKey.parse(text.substring(0, end)).map(key -> new LedgerRequestId(key, text.substring(end + 1)));
    }

    /** Returns the incarnation whose ledger is asked first for the bill. */
    public String owner() {
        return key.owner();
    }

    /** Returns the text form. */
    public String text() {
        return key.text() + SEPARATOR + workspace;
    }
}
