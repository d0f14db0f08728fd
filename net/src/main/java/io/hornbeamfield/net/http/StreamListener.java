package io.hornbeamfield.net.http;

import java.util.Map;

/**
 * Receives a streamed response as it arrives. Calls are sequential; exactly one of {@link #onEnd} and
 * {@link #onFailure} comes last.
 */
public interface StreamListener {
    /** Called once with the response head. Header names are in lower case. */
    void onHead(int status, Map<String, String> headers);

    /** Called for each part of the body. */
    void onData(byte[] chunk);

    /** Called when the whole body has arrived. */
    void onEnd();

    /** Called when the response cannot be completed. */
    void onFailure(CallFailure failure);
}
