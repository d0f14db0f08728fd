package io.hornbeamfield.core.ledger;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** An entry of an incarnation's ledger. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = LedgerRecord.Bill.class, name = "bill"),
    @JsonSubTypes.Type(value = LedgerRecord.Takeover.class, name = "takeover")
})
public sealed interface LedgerRecord {
    /** Returns the request that the entry is about. */
    String requestId();

    /**
     * The charge for one request, in tokens. The kind is {@code model} or {@code service}; the status tells how the
     * request ended: {@code complete}, {@code cancelled} or {@code failed}.
     */
    record Bill(String requestId, String workspace, String budget, long tokens, String kind, String status)
            implements LedgerRecord {}

    /** States that another incarnation bills the request. */
    record Takeover(String requestId, String by) implements LedgerRecord {}
}
