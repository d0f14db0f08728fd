package io.hornbeamfield.core.ledger;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** A record in the ledger of a router incarnation. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = LedgerRecord.Bill.class, name = "bill"),
    @JsonSubTypes.Type(value = LedgerRecord.Takeover.class, name = "takeover")
})
public sealed interface LedgerRecord {
    /** Returns the id of the request that this record refers to. */
    String requestId();

    /**
     * The charge for one request, in tokens. The kind is {@code model} or {@code service}. The status is the outcome of
     * the request: {@code complete}, {@code cancelled} or {@code failed}.
     */
    record Bill(String requestId, String workspace, String budget, long tokens, String kind, String status)
            implements LedgerRecord {}

    /** Transfers the billing of the request to another incarnation. */
    record Takeover(String requestId, String by) implements LedgerRecord {}
}
