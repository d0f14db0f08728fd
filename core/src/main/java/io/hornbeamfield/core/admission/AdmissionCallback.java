package io.hornbeamfield.core.admission;

import io.hornbeamfield.core.result.Refusal;

/** Receives the one decision on a submitted request: exactly one of the two methods is called, once. */
public interface AdmissionCallback {
    /** The request runs now. The slot must be closed when it has ended. */
    void start(AdmissionSlot slot);

    /** The request does not run, now or later. */
    void refuse(Refusal refusal);
}
