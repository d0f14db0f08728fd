package io.hornbeamfield.core.attempt;

/**
 * Bounds the work that the input of one answer causes until it brings something new. Each part costs its bytes and a
 * fixed amount, so that input in many small parts is bounded too. Not thread-safe.
 *
 * <pre>{@code
 * if (!allowance.charge(part.length)) {
 *     closeConnection();
 * }
 * }</pre>
 */
public final class InputAllowance {
    private final long limitBytes;
    private final int partCostBytes;
    private long spentBytes;

    /** Creates an allowance of the given size, of which each part uses its bytes and the given fixed cost. */
    public InputAllowance(long limitBytes, int partCostBytes) {
        this.limitBytes = limitBytes;
        this.partCostBytes = partCostBytes;
    }

    /** Charges one part of the given size. Returns whether the allowance covers it. */
    public boolean charge(int bytes) {
        spentBytes += partCostBytes + bytes;
        return spentBytes <= limitBytes;
    }

    /** Restores the whole allowance, after the input has brought something new. */
    public void renew() {
        spentBytes = 0;
    }
}
