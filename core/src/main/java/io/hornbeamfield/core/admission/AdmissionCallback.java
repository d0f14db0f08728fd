package io.hornbeamfield.core.admission;

import io.hornbeamfield.core.result.Refusal;

/** Receives the decision on a submitted request. Exactly one of the two methods is called, exactly once. */
public interface AdmissionCallback {
    /** Starts the request. The slot must be closed when the request has ended. */
    void start(AdmissionSlot slot);

    /** Refuses the request; it will not run, now or later. */
    void refuse(Refusal refusal);
}
