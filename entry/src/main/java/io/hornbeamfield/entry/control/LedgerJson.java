package io.hornbeamfield.entry.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.hornbeamfield.core.prepaid.PrepaidLedger;
import io.hornbeamfield.net.json.Json;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** The ledger as the content of an object in the store. Fields that earlier versions did not write may be missing. */
public final class LedgerJson {
    private static final String ERA = "era";
    private static final String BASIS = "basis";
    private static final String UNDECLARED = "undeclared";
    private static final String CLOSED = "closed";

    private LedgerJson() {}

    /** The fields that each ledger has. */
    private record Base(Map<String, Map<String, Long>> taken, Map<String, Set<String>> witnesses) {}

    /** Returns the content that describes a ledger. */
    public static JsonNode write(PrepaidLedger ledger) {
        ObjectNode content = (ObjectNode) Json.tree(new Base(ledger.taken(), ledger.witnesses()));
        if (ledger.era() != 0) {
            content.put(ERA, ledger.era());
        }
        PrepaidLedger.Version basis = ledger.basis();
        if (basis != null) {
            content.set(BASIS, Json.tree(basis));
        }
        if (!ledger.undeclared().isEmpty()) {
            content.set(UNDECLARED, Json.tree(ledger.undeclared()));
        }
        if (ledger.closed()) {
            content.put(CLOSED, true);
        }
        return content;
    }

    /**
     * Reads a ledger.
     *
     * @throws java.io.UncheckedIOException if the content describes none
     */
    public static PrepaidLedger read(JsonNode content) {
        ObjectNode base =
                content.isObject() ? content.deepCopy() : Json.mapper().createObjectNode();
        @Nullable JsonNode basis = base.remove(BASIS);
        Set<String> undeclared = new HashSet<>();
        base.path(UNDECLARED).forEach(h -> undeclared.add(h.asText()));
        long era = base.path(ERA).asLong();
        boolean closed = base.path(CLOSED).asBoolean();
        base.remove(Set.of(ERA, UNDECLARED, CLOSED));
        Base fields = Json.read(base, Base.class);
        return new PrepaidLedger(
                fields.taken(),
                fields.witnesses(),
                era,
                basis == null ? null : Json.read(basis, PrepaidLedger.Version.class),
                undeclared,
                closed);
    }
}
