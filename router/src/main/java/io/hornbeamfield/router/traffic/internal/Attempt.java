package io.hornbeamfield.router.traffic.internal;

/** One attempt to run a request at a backend server. All calls are made on the executor of the request. */
interface Attempt {
    /** Sends the request. The listener is notified of the outcome exactly once. */
    void start();

    /** Cancels the attempt if the backend server supports it; the listener is notified of the outcome later. */
    void cancel();

    /** Receives the progress of an attempt on the executor of the request. */
    interface Listener {
        /** Called for each chunk of a model answer, in order and without gaps. */
        void content(Chunk chunk);

        /** Called once with the outcome. */
        void ended(AttemptOutcome end);
    }
}
