package io.hornbeamfield.core.prepaid;

import java.util.Map;
import java.util.Set;

/** What an instance knows of other holders without the store. */
public interface LedgerPeers {
    /** Knows nothing. */
    LedgerPeers NONE = new LedgerPeers() {
        @Override
        public Set<String> linkedHolders() {
            return Set.of();
        }

        @Override
        public Map<String, Long> witnessedLimits(String holder) {
            return Map.of();
        }
    };

    /** Returns the holders that this instance is linked to. */
    Set<String> linkedHolders();

    /** Returns the limits by workspace that this instance has recorded as a witness of a holder. */
    Map<String, Long> witnessedLimits(String holder);
}
