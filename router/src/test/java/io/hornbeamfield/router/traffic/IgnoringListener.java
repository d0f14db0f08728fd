package io.hornbeamfield.router.traffic;

import io.hornbeamfield.net.http.CallFailure;
import io.hornbeamfield.net.http.StreamListener;
import java.util.Map;

/** Stream listener that ignores all events. */
final class IgnoringListener implements StreamListener {
    @Override
    public void onHead(int status, Map<String, String> headers) {}

    @Override
    public void onData(byte[] chunk) {}

    @Override
    public void onEnd() {}

    @Override
    public void onFailure(CallFailure failure) {}
}
