package io.hornbeamfield.core.identity;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Probabilistic filter of the keys that were refused while the registry had no room for an entry. Each cell holds the
 * latest issue time of the refused keys that hash to it. An unknown key that hashes to the same cell and was not issued
 * later counts as refused. There are false positives but no false negatives: a key may be refused needlessly, but a
 * refused key never runs.
 */
final class RefusedKeyFilter {
    // Workspaces hash to rows, so that keys issued in the future cause false positives in few other workspaces.
    private static final int ROWS = 1024;
    private static final int CELL_BITS = 6;
    private static final int CELLS_PER_ROW = 1 << CELL_BITS;

    private final Map<Integer, long[]> rows = new HashMap<>();

    void add(String workspace, RequestKey key) {
        long[] cells = rows.computeIfAbsent(row(workspace), r -> emptyRow());
        cells[cell(key)] = Math.max(cells[cell(key)], key.issuedEpochSecond());
    }

    boolean mayContain(String workspace, RequestKey key) {
        long[] cells = rows.get(row(workspace));
        return cells != null && key.issuedEpochSecond() <= cells[cell(key)];
    }

    private static long[] emptyRow() {
        long[] cells = new long[CELLS_PER_ROW];
        Arrays.fill(cells, Long.MIN_VALUE);
        return cells;
    }

    private static int row(String workspace) {
        return Math.floorMod(workspace.hashCode(), ROWS);
    }

    private static int cell(RequestKey key) {
        // Multiplicative hashing: the top bits of the product depend on all bits of the hash, whereas the low bits of
        // String hashes are badly distributed.
        return ((key.nonce().hashCode() ^ key.owner().hashCode()) * 0x9E3779B9) >>> (32 - CELL_BITS);
    }
}
