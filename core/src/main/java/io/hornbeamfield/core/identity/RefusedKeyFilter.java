package io.hornbeamfield.core.identity;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Remembers keys that were refused while there was no room for an entry. Each cell keeps the newest issue time of the
 * refused keys that fall into it; an unknown key of that time or older in the same cell counts as refused. This can
 * refuse a key without need, but never forgets a refused one.
 */
final class RefusedKeyFilter {
    // One row of cells for each group of workspaces, so that keys from the future harm few other workspaces.
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
        // The top bits of the product depend on all bits of the hash; the low bits of a String hash are alike.
        return ((key.nonce().hashCode() ^ key.owner().hashCode()) * 0x9E3779B9) >>> (32 - CELL_BITS);
    }
}
