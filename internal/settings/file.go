package settings

import (
	"encoding/json"
	"io"
	"strings"
	"unicode"

	"github.com/go-faster/errors"
)

// parseFile reads a JSON object whose names are settings in Pascal case, and calls set
// for each with the name of its flag and the value as text. It joins the elements of
// lists with commas.
func parseFile(r io.Reader, set func(name, value string) error) error {
	decoder := json.NewDecoder(r)
	decoder.UseNumber()
	values := map[string]any{}
	if err := decoder.Decode(&values); err != nil {
		return errors.Wrap(err, "settings file")
	}
	for name, value := range values {
		text, err := flagValue(value)
		if err != nil {
			return errors.Wrapf(err, "settings file: %s", name)
		}
		if !unicode.IsUpper([]rune(name + " ")[0]) {
			return errors.Errorf("settings file: %s is not in Pascal case, as in PeerAddress", name)
		}
		if err := set(flagName(name), text); err != nil {
			return errors.Wrapf(err, "settings file: %s", name)
		}
	}
	return nil
}

// flagValue returns a JSON value as the text of a flag. It fails for objects and null.
func flagValue(value any) (string, error) {
	switch v := value.(type) {
	case string:
		return v, nil
	case bool:
		if v {
			return "true", nil
		}
		return "false", nil
	case json.Number:
		return v.String(), nil
	case []any:
		return flagListValue(v)
	default:
		return "", errors.Errorf("value %v is not a string, number, boolean or list of these", value)
	}
}

func flagListValue(values []any) (string, error) {
	parts := make([]string, 0, len(values))
	for _, v := range values {
		part, err := flagValue(v)
		if err != nil {
			return "", err
		}
		parts = append(parts, part)
	}
	return strings.Join(parts, ","), nil
}

// flagName turns PeerAddress into peer-address and ListURL into list-url.
func flagName(name string) string {
	var b strings.Builder
	letters := []rune(name)
	for i, r := range letters {
		upper := unicode.IsUpper(r)
		if i > 0 && upper && !unicode.IsUpper(letters[i-1]) {
			b.WriteByte('-')
		}
		b.WriteRune(unicode.ToLower(r))
	}
	return b.String()
}
