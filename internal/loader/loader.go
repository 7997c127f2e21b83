// Package loader reads the settings of the daemons from INI files. Values of the
// file replace the defaults, and the result is validated before it is returned.
package loader

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/samber/oops"
	"gopkg.in/ini.v1"
)

// CodeSettings is the error code of a settings file that cannot be read or is
// invalid.
const CodeSettings = "settings"

// validator is a set of settings that can be validated.
type validator interface {
	validate() error
}

// load replaces the defaults in settings, a pointer to a struct, by the values of
// the file, and validates the result.
func load(path string, settings validator) error {
	file, err := ini.LoadSources(ini.LoadOptions{SkipUnrecognizableLines: false}, path)
	if err != nil {
		return oops.Code(CodeSettings).With("file", path).Wrapf(err, "read settings")
	}
	root := reflect.ValueOf(settings).Elem()
	for _, section := range file.Sections() {
		if err := loadSection(root, section); err != nil {
			return err
		}
	}
	return settings.validate()
}

func loadSection(root reflect.Value, section *ini.Section) error {
	if section.Name() == ini.DefaultSection {
		if keys := section.KeyStrings(); len(keys) > 0 {
			return settingError("", keys[0], "stands outside of any section")
		}
		return nil
	}
	target, ok := fieldByTag(root, section.Name())
	if !ok {
		return settingError(section.Name(), "", "the section is not known")
	}
	for _, key := range section.Keys() {
		field, ok := fieldByTag(target, key.Name())
		if !ok {
			return settingError(section.Name(), key.Name(), "the key is not known")
		}
		if err := setField(field, key.String()); err != nil {
			return settingError(section.Name(), key.Name(), err.Error())
		}
	}
	return nil
}

func fieldByTag(value reflect.Value, name string) (reflect.Value, bool) {
	for i := range value.NumField() {
		if value.Type().Field(i).Tag.Get("ini") == name {
			return value.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func setField(field reflect.Value, text string) error {
	switch target := field.Addr().Interface().(type) {
	case *string:
		*target = text
	case *[]string:
		*target = splitList(text)
	case *time.Duration:
		duration, err := time.ParseDuration(text)
		if err != nil {
			return fmt.Errorf("%q is not a duration such as 500ms or 2s", text)
		}
		*target = duration
	case *Switch:
		if text != string(SwitchOn) && text != string(SwitchOff) {
			return fmt.Errorf("%q is neither on nor off", text)
		}
		*target = Switch(text)
	case *int:
		number, err := strconv.Atoi(text)
		if err != nil {
			return fmt.Errorf("%q is not a whole number", text)
		}
		*target = number
	default:
		return fmt.Errorf("settings of type %s cannot be read", field.Type())
	}
	return nil
}

func splitList(text string) []string {
	var items []string
	for item := range strings.SplitSeq(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}

// settingError returns the error for the key of the section, with the reason.
func settingError(section, key, reason string) error {
	return oops.Code(CodeSettings).With("section", section, "key", key).
		Errorf("settings [%s] %s: %s", section, key, reason)
}

// Switch is a setting with the values on and off. The empty value means that it
// is missing from the file.
type Switch string

// The values of a Switch.
const (
	SwitchOn  Switch = "on"
	SwitchOff Switch = "off"
)

// IsOn reports whether the switch is on.
func (s Switch) IsOn() bool { return s == SwitchOn }
