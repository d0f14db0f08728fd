package io.hornbeamfield.core.admission;

/**
 * The execution slot of a running request.
 *
 * <pre>{@code
 * slot.finished(); // the answer is complete
 * slot.close();    // in every case
 * }</pre>
 */
public interface AdmissionSlot extends AutoCloseable {
    /** Releases the slot and records the time it was held as a service time. */
    void finished();

    /**
     * Releases the slot if it is still held, because the request failed or its caller disconnected. The time is
     * recorded only if it is longer than usual.
     */
    @Override
    void close();
}
