package io.hornbeamfield.core.admission;

/**
 * The place of a running request.
 *
 * <pre>{@code
 * slot.finished(); // the answer is complete
 * slot.close();    // in every case
 * }</pre>
 */
public interface AdmissionSlot extends AutoCloseable {
    /** Frees the place and counts the time it was held as a measured service time. */
    void finished();

    /**
     * Frees the place if it is still held: the request failed or its caller went away. The time is measured only if it
     * is longer than usual.
     */
    @Override
    void close();
}
