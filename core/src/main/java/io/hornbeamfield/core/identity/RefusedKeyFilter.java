package io.hornbeamfield.core.identity;

/**
 * Remembers keys that were refused while there was no room for an entry. Each cell keeps the newest issue time of the
 * refused keys that fall into it; an unknown key of that time or older in the same cell counts as refused. This can
 * refuse a key without need, but never forgets a refused one.
 */
final class RefusedKeyFilter {
    // One row of cells for each group of workspaces, so that keys from the future harm few other workspaces.
    private static final int ROWS = 1024;
    private static final int CELLS_PER_ROW = 64;

    private final long[] newestRefused = new long[ROWS * CELLS_PER_ROW];

    RefusedKeyFilter() {
        java.util.Arrays.fill(newestRefused, Long.MIN_VALUE);
    }

    void add(String workspace, RequestKey key) {
        int cell = cell(workspace, key);
        newestRefused[cell] = Math.max(newestRefused[cell], key.issuedEpochSecond());
    }

    boolean mayContain(String workspace, RequestKey key) {
        return key.issuedEpochSecond() <= newestRefused[cell(workspace, key)];
    }

    private static int cell(String workspace, RequestKey key) {
        int row = Math.floorMod(workspace.hashCode(), ROWS);
        return row * CELLS_PER_ROW + Math.floorMod(key.hashCode() * 0x9E3779B9 >>> 8, CELLS_PER_ROW);
    }
}
