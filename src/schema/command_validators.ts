/** Validator generated from schema/command.yaml.
 * @module */

// @ts-nocheck: generated code
"use strict";
export const validate = validate20;
export default validate20;
const schema31 = {"$schema":"https://json-schema.org/draft/2020-12/schema","title":"Command","description":"A command that the replicated log commits and the machine applies.","type":"object","required":["type"],"discriminator":{"propertyName":"type"},"oneOf":[{"$ref":"#/$defs/EditCommand"},{"$ref":"#/$defs/ClaimCommand"},{"$ref":"#/$defs/SettleCommand"},{"$ref":"#/$defs/RetireCommand"}],"$defs":{"Id":{"title":"Id","description":"Chosen by the proposing host; a resend repeats it.","type":"string","minLength":1,"maxLength":96},"Time":{"title":"Time","description":"Leader's time in milliseconds, set as it proposes; the machine never goes\nback. Absent in a command on its way to the leader.\n","type":"number","minimum":0},"EditCommand":{"title":"EditCommand","type":"object","additionalProperties":false,"required":["type","id","edit"],"properties":{"type":{"type":"string","const":"edit"},"id":{"$ref":"#/$defs/Id"},"at":{"$ref":"#/$defs/Time"},"edit":{"description":"Edit of schema/table.yaml, checked against it.","type":"object"}}},"ClaimCommand":{"title":"ClaimCommand","description":"Asks for the right to run a request once. Its id is the token.","type":"object","additionalProperties":false,"required":["type","id","key","fingerprint","host","incarnation","lease"],"properties":{"type":{"type":"string","const":"claim"},"id":{"$ref":"#/$defs/Id"},"at":{"$ref":"#/$defs/Time"},"key":{"description":"Account and hash of the Idempotency-Key.","type":"string","minLength":1,"maxLength":160},"fingerprint":{"description":"Hash of the request.","type":"string","minLength":1,"maxLength":64},"host":{"type":"string","minLength":1,"maxLength":64},"incarnation":{"type":"integer","minimum":0},"lease":{"description":"Milliseconds within which the request is settled.","type":"integer","minimum":1,"maximum":600000}}},"SettleCommand":{"title":"SettleCommand","description":"How a claimed request ended; not-run frees the key.","type":"object","additionalProperties":false,"required":["type","id","key","token","outcome"],"properties":{"type":{"type":"string","const":"settle"},"id":{"$ref":"#/$defs/Id"},"at":{"$ref":"#/$defs/Time"},"key":{"type":"string","minLength":1,"maxLength":160},"token":{"description":"Id of the claim command.","type":"string","minLength":1,"maxLength":96},"outcome":{"enum":["ran","not-run","unknown"]},"answer":{"$ref":"#/$defs/StoredAnswer"}}},"StoredAnswer":{"title":"StoredAnswer","description":"Answer that a resend gets again.","type":"object","additionalProperties":false,"required":["status","body"],"properties":{"status":{"type":"integer","minimum":100,"maximum":599},"contentType":{"type":"string","maxLength":128},"body":{"type":"string"}}},"RetireCommand":{"title":"RetireCommand","description":"Hosts whose earlier incarnations no longer run anything.","type":"object","additionalProperties":false,"required":["type","id","host","incarnation"],"properties":{"type":{"type":"string","const":"retire"},"id":{"$ref":"#/$defs/Id"},"at":{"$ref":"#/$defs/Time"},"host":{"type":"string","minLength":1,"maxLength":64},"incarnation":{"description":"Lowest incarnation that may still run something.","type":"integer","minimum":0}}}}};
const schema32 = {"title":"EditCommand","type":"object","additionalProperties":false,"required":["type","id","edit"],"properties":{"type":{"type":"string","const":"edit"},"id":{"$ref":"#/$defs/Id"},"at":{"$ref":"#/$defs/Time"},"edit":{"description":"Edit of schema/table.yaml, checked against it.","type":"object"}}};
const schema33 = {"title":"Id","description":"Chosen by the proposing host; a resend repeats it.","type":"string","minLength":1,"maxLength":96};
const schema34 = {"title":"Time","description":"Leader's time in milliseconds, set as it proposes; the machine never goes\nback. Absent in a command on its way to the leader.\n","type":"number","minimum":0};

function validate21(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate21.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((((data.type === undefined) && (missing0 = "type")) || ((data.id === undefined) && (missing0 = "id"))) || ((data.edit === undefined) && (missing0 = "edit"))){
validate21.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema32.required,parentSchema:schema32,data}];
return false;
}
else {
const _errs1 = errors;
for(const key0 in data){
if(!((((key0 === "type") || (key0 === "id")) || (key0 === "at")) || (key0 === "edit"))){
validate21.errors = [{instancePath,schemaPath:"#/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema32,data}];
return false;
break;
}
}
if(_errs1 === errors){
if(data.type !== undefined){
let data0 = data.type;
const _errs2 = errors;
if(typeof data0 !== "string"){
validate21.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema32.properties.type.type,parentSchema:schema32.properties.type,data:data0}];
return false;
}
if("edit" !== data0){
validate21.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "edit"},message:"must be equal to constant",schema:"edit",parentSchema:schema32.properties.type,data:data0}];
return false;
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.id !== undefined){
let data1 = data.id;
const _errs4 = errors;
const _errs5 = errors;
if(errors === _errs5){
if(typeof data1 === "string"){
if(data1.length > 96){
validate21.errors = [{instancePath:instancePath+"/id",schemaPath:"#/$defs/Id/maxLength",keyword:"maxLength",params:{limit: 96},message:"must NOT have more than 96 characters",schema:96,parentSchema:schema33,data:data1}];
return false;
}
else {
if(data1.length < 1){
validate21.errors = [{instancePath:instancePath+"/id",schemaPath:"#/$defs/Id/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema33,data:data1}];
return false;
}
}
}
else {
validate21.errors = [{instancePath:instancePath+"/id",schemaPath:"#/$defs/Id/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema33.type,parentSchema:schema33,data:data1}];
return false;
}
}
var valid0 = _errs4 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.at !== undefined){
let data2 = data.at;
const _errs7 = errors;
const _errs8 = errors;
if(errors === _errs8){
if((typeof data2 == "number") && (isFinite(data2))){
if(data2 < 0 || isNaN(data2)){
validate21.errors = [{instancePath:instancePath+"/at",schemaPath:"#/$defs/Time/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema34,data:data2}];
return false;
}
}
else {
validate21.errors = [{instancePath:instancePath+"/at",schemaPath:"#/$defs/Time/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema34.type,parentSchema:schema34,data:data2}];
return false;
}
}
var valid0 = _errs7 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.edit !== undefined){
let data3 = data.edit;
const _errs10 = errors;
if(!(data3 && typeof data3 == "object" && !Array.isArray(data3))){
validate21.errors = [{instancePath:instancePath+"/edit",schemaPath:"#/properties/edit/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema32.properties.edit.type,parentSchema:schema32.properties.edit,data:data3}];
return false;
}
var valid0 = _errs10 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
}
else {
validate21.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema32.type,parentSchema:schema32,data}];
return false;
}
}
validate21.errors = vErrors;
return errors === 0;
}
validate21.evaluated = {"props":true,"dynamicProps":false,"dynamicItems":false};

const schema35 = {"title":"ClaimCommand","description":"Asks for the right to run a request once. Its id is the token.","type":"object","additionalProperties":false,"required":["type","id","key","fingerprint","host","incarnation","lease"],"properties":{"type":{"type":"string","const":"claim"},"id":{"$ref":"#/$defs/Id"},"at":{"$ref":"#/$defs/Time"},"key":{"description":"Account and hash of the Idempotency-Key.","type":"string","minLength":1,"maxLength":160},"fingerprint":{"description":"Hash of the request.","type":"string","minLength":1,"maxLength":64},"host":{"type":"string","minLength":1,"maxLength":64},"incarnation":{"type":"integer","minimum":0},"lease":{"description":"Milliseconds within which the request is settled.","type":"integer","minimum":1,"maximum":600000}}};

function validate22(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate22.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((((((((data.type === undefined) && (missing0 = "type")) || ((data.id === undefined) && (missing0 = "id"))) || ((data.key === undefined) && (missing0 = "key"))) || ((data.fingerprint === undefined) && (missing0 = "fingerprint"))) || ((data.host === undefined) && (missing0 = "host"))) || ((data.incarnation === undefined) && (missing0 = "incarnation"))) || ((data.lease === undefined) && (missing0 = "lease"))){
validate22.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema35.required,parentSchema:schema35,data}];
return false;
}
else {
const _errs1 = errors;
for(const key0 in data){
if(!((((((((key0 === "type") || (key0 === "id")) || (key0 === "at")) || (key0 === "key")) || (key0 === "fingerprint")) || (key0 === "host")) || (key0 === "incarnation")) || (key0 === "lease"))){
validate22.errors = [{instancePath,schemaPath:"#/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema35,data}];
return false;
break;
}
}
if(_errs1 === errors){
if(data.type !== undefined){
let data0 = data.type;
const _errs2 = errors;
if(typeof data0 !== "string"){
validate22.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema35.properties.type.type,parentSchema:schema35.properties.type,data:data0}];
return false;
}
if("claim" !== data0){
validate22.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "claim"},message:"must be equal to constant",schema:"claim",parentSchema:schema35.properties.type,data:data0}];
return false;
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.id !== undefined){
let data1 = data.id;
const _errs4 = errors;
const _errs5 = errors;
if(errors === _errs5){
if(typeof data1 === "string"){
if(data1.length > 96){
validate22.errors = [{instancePath:instancePath+"/id",schemaPath:"#/$defs/Id/maxLength",keyword:"maxLength",params:{limit: 96},message:"must NOT have more than 96 characters",schema:96,parentSchema:schema33,data:data1}];
return false;
}
else {
if(data1.length < 1){
validate22.errors = [{instancePath:instancePath+"/id",schemaPath:"#/$defs/Id/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema33,data:data1}];
return false;
}
}
}
else {
validate22.errors = [{instancePath:instancePath+"/id",schemaPath:"#/$defs/Id/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema33.type,parentSchema:schema33,data:data1}];
return false;
}
}
var valid0 = _errs4 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.at !== undefined){
let data2 = data.at;
const _errs7 = errors;
const _errs8 = errors;
if(errors === _errs8){
if((typeof data2 == "number") && (isFinite(data2))){
if(data2 < 0 || isNaN(data2)){
validate22.errors = [{instancePath:instancePath+"/at",schemaPath:"#/$defs/Time/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema34,data:data2}];
return false;
}
}
else {
validate22.errors = [{instancePath:instancePath+"/at",schemaPath:"#/$defs/Time/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema34.type,parentSchema:schema34,data:data2}];
return false;
}
}
var valid0 = _errs7 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.key !== undefined){
let data3 = data.key;
const _errs10 = errors;
if(errors === _errs10){
if(typeof data3 === "string"){
if(data3.length > 160){
validate22.errors = [{instancePath:instancePath+"/key",schemaPath:"#/properties/key/maxLength",keyword:"maxLength",params:{limit: 160},message:"must NOT have more than 160 characters",schema:160,parentSchema:schema35.properties.key,data:data3}];
return false;
}
else {
if(data3.length < 1){
validate22.errors = [{instancePath:instancePath+"/key",schemaPath:"#/properties/key/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema35.properties.key,data:data3}];
return false;
}
}
}
else {
validate22.errors = [{instancePath:instancePath+"/key",schemaPath:"#/properties/key/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema35.properties.key.type,parentSchema:schema35.properties.key,data:data3}];
return false;
}
}
var valid0 = _errs10 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.fingerprint !== undefined){
let data4 = data.fingerprint;
const _errs12 = errors;
if(errors === _errs12){
if(typeof data4 === "string"){
if(data4.length > 64){
validate22.errors = [{instancePath:instancePath+"/fingerprint",schemaPath:"#/properties/fingerprint/maxLength",keyword:"maxLength",params:{limit: 64},message:"must NOT have more than 64 characters",schema:64,parentSchema:schema35.properties.fingerprint,data:data4}];
return false;
}
else {
if(data4.length < 1){
validate22.errors = [{instancePath:instancePath+"/fingerprint",schemaPath:"#/properties/fingerprint/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema35.properties.fingerprint,data:data4}];
return false;
}
}
}
else {
validate22.errors = [{instancePath:instancePath+"/fingerprint",schemaPath:"#/properties/fingerprint/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema35.properties.fingerprint.type,parentSchema:schema35.properties.fingerprint,data:data4}];
return false;
}
}
var valid0 = _errs12 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.host !== undefined){
let data5 = data.host;
const _errs14 = errors;
if(errors === _errs14){
if(typeof data5 === "string"){
if(data5.length > 64){
validate22.errors = [{instancePath:instancePath+"/host",schemaPath:"#/properties/host/maxLength",keyword:"maxLength",params:{limit: 64},message:"must NOT have more than 64 characters",schema:64,parentSchema:schema35.properties.host,data:data5}];
return false;
}
else {
if(data5.length < 1){
validate22.errors = [{instancePath:instancePath+"/host",schemaPath:"#/properties/host/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema35.properties.host,data:data5}];
return false;
}
}
}
else {
validate22.errors = [{instancePath:instancePath+"/host",schemaPath:"#/properties/host/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema35.properties.host.type,parentSchema:schema35.properties.host,data:data5}];
return false;
}
}
var valid0 = _errs14 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.incarnation !== undefined){
let data6 = data.incarnation;
const _errs16 = errors;
if(!(((typeof data6 == "number") && (!(data6 % 1) && !isNaN(data6))) && (isFinite(data6)))){
validate22.errors = [{instancePath:instancePath+"/incarnation",schemaPath:"#/properties/incarnation/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema35.properties.incarnation.type,parentSchema:schema35.properties.incarnation,data:data6}];
return false;
}
if(errors === _errs16){
if((typeof data6 == "number") && (isFinite(data6))){
if(data6 < 0 || isNaN(data6)){
validate22.errors = [{instancePath:instancePath+"/incarnation",schemaPath:"#/properties/incarnation/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema35.properties.incarnation,data:data6}];
return false;
}
}
}
var valid0 = _errs16 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.lease !== undefined){
let data7 = data.lease;
const _errs18 = errors;
if(!(((typeof data7 == "number") && (!(data7 % 1) && !isNaN(data7))) && (isFinite(data7)))){
validate22.errors = [{instancePath:instancePath+"/lease",schemaPath:"#/properties/lease/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema35.properties.lease.type,parentSchema:schema35.properties.lease,data:data7}];
return false;
}
if(errors === _errs18){
if((typeof data7 == "number") && (isFinite(data7))){
if(data7 > 600000 || isNaN(data7)){
validate22.errors = [{instancePath:instancePath+"/lease",schemaPath:"#/properties/lease/maximum",keyword:"maximum",params:{comparison: "<=", limit: 600000},message:"must be <= 600000",schema:600000,parentSchema:schema35.properties.lease,data:data7}];
return false;
}
else {
if(data7 < 1 || isNaN(data7)){
validate22.errors = [{instancePath:instancePath+"/lease",schemaPath:"#/properties/lease/minimum",keyword:"minimum",params:{comparison: ">=", limit: 1},message:"must be >= 1",schema:1,parentSchema:schema35.properties.lease,data:data7}];
return false;
}
}
}
}
var valid0 = _errs18 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
}
}
}
}
}
else {
validate22.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema35.type,parentSchema:schema35,data}];
return false;
}
}
validate22.errors = vErrors;
return errors === 0;
}
validate22.evaluated = {"props":true,"dynamicProps":false,"dynamicItems":false};

const schema38 = {"title":"SettleCommand","description":"How a claimed request ended; not-run frees the key.","type":"object","additionalProperties":false,"required":["type","id","key","token","outcome"],"properties":{"type":{"type":"string","const":"settle"},"id":{"$ref":"#/$defs/Id"},"at":{"$ref":"#/$defs/Time"},"key":{"type":"string","minLength":1,"maxLength":160},"token":{"description":"Id of the claim command.","type":"string","minLength":1,"maxLength":96},"outcome":{"enum":["ran","not-run","unknown"]},"answer":{"$ref":"#/$defs/StoredAnswer"}}};
const schema41 = {"title":"StoredAnswer","description":"Answer that a resend gets again.","type":"object","additionalProperties":false,"required":["status","body"],"properties":{"status":{"type":"integer","minimum":100,"maximum":599},"contentType":{"type":"string","maxLength":128},"body":{"type":"string"}}};

function validate23(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate23.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((((((data.type === undefined) && (missing0 = "type")) || ((data.id === undefined) && (missing0 = "id"))) || ((data.key === undefined) && (missing0 = "key"))) || ((data.token === undefined) && (missing0 = "token"))) || ((data.outcome === undefined) && (missing0 = "outcome"))){
validate23.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema38.required,parentSchema:schema38,data}];
return false;
}
else {
const _errs1 = errors;
for(const key0 in data){
if(!(((((((key0 === "type") || (key0 === "id")) || (key0 === "at")) || (key0 === "key")) || (key0 === "token")) || (key0 === "outcome")) || (key0 === "answer"))){
validate23.errors = [{instancePath,schemaPath:"#/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema38,data}];
return false;
break;
}
}
if(_errs1 === errors){
if(data.type !== undefined){
let data0 = data.type;
const _errs2 = errors;
if(typeof data0 !== "string"){
validate23.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema38.properties.type.type,parentSchema:schema38.properties.type,data:data0}];
return false;
}
if("settle" !== data0){
validate23.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "settle"},message:"must be equal to constant",schema:"settle",parentSchema:schema38.properties.type,data:data0}];
return false;
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.id !== undefined){
let data1 = data.id;
const _errs4 = errors;
const _errs5 = errors;
if(errors === _errs5){
if(typeof data1 === "string"){
if(data1.length > 96){
validate23.errors = [{instancePath:instancePath+"/id",schemaPath:"#/$defs/Id/maxLength",keyword:"maxLength",params:{limit: 96},message:"must NOT have more than 96 characters",schema:96,parentSchema:schema33,data:data1}];
return false;
}
else {
if(data1.length < 1){
validate23.errors = [{instancePath:instancePath+"/id",schemaPath:"#/$defs/Id/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema33,data:data1}];
return false;
}
}
}
else {
validate23.errors = [{instancePath:instancePath+"/id",schemaPath:"#/$defs/Id/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema33.type,parentSchema:schema33,data:data1}];
return false;
}
}
var valid0 = _errs4 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.at !== undefined){
let data2 = data.at;
const _errs7 = errors;
const _errs8 = errors;
if(errors === _errs8){
if((typeof data2 == "number") && (isFinite(data2))){
if(data2 < 0 || isNaN(data2)){
validate23.errors = [{instancePath:instancePath+"/at",schemaPath:"#/$defs/Time/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema34,data:data2}];
return false;
}
}
else {
validate23.errors = [{instancePath:instancePath+"/at",schemaPath:"#/$defs/Time/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema34.type,parentSchema:schema34,data:data2}];
return false;
}
}
var valid0 = _errs7 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.key !== undefined){
let data3 = data.key;
const _errs10 = errors;
if(errors === _errs10){
if(typeof data3 === "string"){
if(data3.length > 160){
validate23.errors = [{instancePath:instancePath+"/key",schemaPath:"#/properties/key/maxLength",keyword:"maxLength",params:{limit: 160},message:"must NOT have more than 160 characters",schema:160,parentSchema:schema38.properties.key,data:data3}];
return false;
}
else {
if(data3.length < 1){
validate23.errors = [{instancePath:instancePath+"/key",schemaPath:"#/properties/key/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema38.properties.key,data:data3}];
return false;
}
}
}
else {
validate23.errors = [{instancePath:instancePath+"/key",schemaPath:"#/properties/key/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema38.properties.key.type,parentSchema:schema38.properties.key,data:data3}];
return false;
}
}
var valid0 = _errs10 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.token !== undefined){
let data4 = data.token;
const _errs12 = errors;
if(errors === _errs12){
if(typeof data4 === "string"){
if(data4.length > 96){
validate23.errors = [{instancePath:instancePath+"/token",schemaPath:"#/properties/token/maxLength",keyword:"maxLength",params:{limit: 96},message:"must NOT have more than 96 characters",schema:96,parentSchema:schema38.properties.token,data:data4}];
return false;
}
else {
if(data4.length < 1){
validate23.errors = [{instancePath:instancePath+"/token",schemaPath:"#/properties/token/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema38.properties.token,data:data4}];
return false;
}
}
}
else {
validate23.errors = [{instancePath:instancePath+"/token",schemaPath:"#/properties/token/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema38.properties.token.type,parentSchema:schema38.properties.token,data:data4}];
return false;
}
}
var valid0 = _errs12 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.outcome !== undefined){
let data5 = data.outcome;
const _errs14 = errors;
if(!(((data5 === "ran") || (data5 === "not-run")) || (data5 === "unknown"))){
validate23.errors = [{instancePath:instancePath+"/outcome",schemaPath:"#/properties/outcome/enum",keyword:"enum",params:{allowedValues: schema38.properties.outcome.enum},message:"must be equal to one of the allowed values",schema:schema38.properties.outcome.enum,parentSchema:schema38.properties.outcome,data:data5}];
return false;
}
var valid0 = _errs14 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.answer !== undefined){
let data6 = data.answer;
const _errs15 = errors;
const _errs16 = errors;
if(errors === _errs16){
if(data6 && typeof data6 == "object" && !Array.isArray(data6)){
let missing1;
if(((data6.status === undefined) && (missing1 = "status")) || ((data6.body === undefined) && (missing1 = "body"))){
validate23.errors = [{instancePath:instancePath+"/answer",schemaPath:"#/$defs/StoredAnswer/required",keyword:"required",params:{missingProperty: missing1},message:"must have required property '"+missing1+"'",schema:schema41.required,parentSchema:schema41,data:data6}];
return false;
}
else {
const _errs18 = errors;
for(const key1 in data6){
if(!(((key1 === "status") || (key1 === "contentType")) || (key1 === "body"))){
validate23.errors = [{instancePath:instancePath+"/answer",schemaPath:"#/$defs/StoredAnswer/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key1},message:"must NOT have additional properties",schema:false,parentSchema:schema41,data:data6}];
return false;
break;
}
}
if(_errs18 === errors){
if(data6.status !== undefined){
let data7 = data6.status;
const _errs19 = errors;
if(!(((typeof data7 == "number") && (!(data7 % 1) && !isNaN(data7))) && (isFinite(data7)))){
validate23.errors = [{instancePath:instancePath+"/answer/status",schemaPath:"#/$defs/StoredAnswer/properties/status/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema41.properties.status.type,parentSchema:schema41.properties.status,data:data7}];
return false;
}
if(errors === _errs19){
if((typeof data7 == "number") && (isFinite(data7))){
if(data7 > 599 || isNaN(data7)){
validate23.errors = [{instancePath:instancePath+"/answer/status",schemaPath:"#/$defs/StoredAnswer/properties/status/maximum",keyword:"maximum",params:{comparison: "<=", limit: 599},message:"must be <= 599",schema:599,parentSchema:schema41.properties.status,data:data7}];
return false;
}
else {
if(data7 < 100 || isNaN(data7)){
validate23.errors = [{instancePath:instancePath+"/answer/status",schemaPath:"#/$defs/StoredAnswer/properties/status/minimum",keyword:"minimum",params:{comparison: ">=", limit: 100},message:"must be >= 100",schema:100,parentSchema:schema41.properties.status,data:data7}];
return false;
}
}
}
}
var valid4 = _errs19 === errors;
}
else {
var valid4 = true;
}
if(valid4){
if(data6.contentType !== undefined){
let data8 = data6.contentType;
const _errs21 = errors;
if(errors === _errs21){
if(typeof data8 === "string"){
if(data8.length > 128){
validate23.errors = [{instancePath:instancePath+"/answer/contentType",schemaPath:"#/$defs/StoredAnswer/properties/contentType/maxLength",keyword:"maxLength",params:{limit: 128},message:"must NOT have more than 128 characters",schema:128,parentSchema:schema41.properties.contentType,data:data8}];
return false;
}
}
else {
validate23.errors = [{instancePath:instancePath+"/answer/contentType",schemaPath:"#/$defs/StoredAnswer/properties/contentType/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema41.properties.contentType.type,parentSchema:schema41.properties.contentType,data:data8}];
return false;
}
}
var valid4 = _errs21 === errors;
}
else {
var valid4 = true;
}
if(valid4){
if(data6.body !== undefined){
let data9 = data6.body;
const _errs23 = errors;
if(typeof data9 !== "string"){
validate23.errors = [{instancePath:instancePath+"/answer/body",schemaPath:"#/$defs/StoredAnswer/properties/body/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema41.properties.body.type,parentSchema:schema41.properties.body,data:data9}];
return false;
}
var valid4 = _errs23 === errors;
}
else {
var valid4 = true;
}
}
}
}
}
}
else {
validate23.errors = [{instancePath:instancePath+"/answer",schemaPath:"#/$defs/StoredAnswer/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema41.type,parentSchema:schema41,data:data6}];
return false;
}
}
var valid0 = _errs15 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
}
}
}
}
else {
validate23.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema38.type,parentSchema:schema38,data}];
return false;
}
}
validate23.errors = vErrors;
return errors === 0;
}
validate23.evaluated = {"props":true,"dynamicProps":false,"dynamicItems":false};

const schema42 = {"title":"RetireCommand","description":"Hosts whose earlier incarnations no longer run anything.","type":"object","additionalProperties":false,"required":["type","id","host","incarnation"],"properties":{"type":{"type":"string","const":"retire"},"id":{"$ref":"#/$defs/Id"},"at":{"$ref":"#/$defs/Time"},"host":{"type":"string","minLength":1,"maxLength":64},"incarnation":{"description":"Lowest incarnation that may still run something.","type":"integer","minimum":0}}};

function validate24(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate24.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((((data.type === undefined) && (missing0 = "type")) || ((data.id === undefined) && (missing0 = "id"))) || ((data.host === undefined) && (missing0 = "host"))) || ((data.incarnation === undefined) && (missing0 = "incarnation"))){
validate24.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema42.required,parentSchema:schema42,data}];
return false;
}
else {
const _errs1 = errors;
for(const key0 in data){
if(!(((((key0 === "type") || (key0 === "id")) || (key0 === "at")) || (key0 === "host")) || (key0 === "incarnation"))){
validate24.errors = [{instancePath,schemaPath:"#/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema42,data}];
return false;
break;
}
}
if(_errs1 === errors){
if(data.type !== undefined){
let data0 = data.type;
const _errs2 = errors;
if(typeof data0 !== "string"){
validate24.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema42.properties.type.type,parentSchema:schema42.properties.type,data:data0}];
return false;
}
if("retire" !== data0){
validate24.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "retire"},message:"must be equal to constant",schema:"retire",parentSchema:schema42.properties.type,data:data0}];
return false;
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.id !== undefined){
let data1 = data.id;
const _errs4 = errors;
const _errs5 = errors;
if(errors === _errs5){
if(typeof data1 === "string"){
if(data1.length > 96){
validate24.errors = [{instancePath:instancePath+"/id",schemaPath:"#/$defs/Id/maxLength",keyword:"maxLength",params:{limit: 96},message:"must NOT have more than 96 characters",schema:96,parentSchema:schema33,data:data1}];
return false;
}
else {
if(data1.length < 1){
validate24.errors = [{instancePath:instancePath+"/id",schemaPath:"#/$defs/Id/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema33,data:data1}];
return false;
}
}
}
else {
validate24.errors = [{instancePath:instancePath+"/id",schemaPath:"#/$defs/Id/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema33.type,parentSchema:schema33,data:data1}];
return false;
}
}
var valid0 = _errs4 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.at !== undefined){
let data2 = data.at;
const _errs7 = errors;
const _errs8 = errors;
if(errors === _errs8){
if((typeof data2 == "number") && (isFinite(data2))){
if(data2 < 0 || isNaN(data2)){
validate24.errors = [{instancePath:instancePath+"/at",schemaPath:"#/$defs/Time/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema34,data:data2}];
return false;
}
}
else {
validate24.errors = [{instancePath:instancePath+"/at",schemaPath:"#/$defs/Time/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema34.type,parentSchema:schema34,data:data2}];
return false;
}
}
var valid0 = _errs7 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.host !== undefined){
let data3 = data.host;
const _errs10 = errors;
if(errors === _errs10){
if(typeof data3 === "string"){
if(data3.length > 64){
validate24.errors = [{instancePath:instancePath+"/host",schemaPath:"#/properties/host/maxLength",keyword:"maxLength",params:{limit: 64},message:"must NOT have more than 64 characters",schema:64,parentSchema:schema42.properties.host,data:data3}];
return false;
}
else {
if(data3.length < 1){
validate24.errors = [{instancePath:instancePath+"/host",schemaPath:"#/properties/host/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema42.properties.host,data:data3}];
return false;
}
}
}
else {
validate24.errors = [{instancePath:instancePath+"/host",schemaPath:"#/properties/host/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema42.properties.host.type,parentSchema:schema42.properties.host,data:data3}];
return false;
}
}
var valid0 = _errs10 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.incarnation !== undefined){
let data4 = data.incarnation;
const _errs12 = errors;
if(!(((typeof data4 == "number") && (!(data4 % 1) && !isNaN(data4))) && (isFinite(data4)))){
validate24.errors = [{instancePath:instancePath+"/incarnation",schemaPath:"#/properties/incarnation/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema42.properties.incarnation.type,parentSchema:schema42.properties.incarnation,data:data4}];
return false;
}
if(errors === _errs12){
if((typeof data4 == "number") && (isFinite(data4))){
if(data4 < 0 || isNaN(data4)){
validate24.errors = [{instancePath:instancePath+"/incarnation",schemaPath:"#/properties/incarnation/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema42.properties.incarnation,data:data4}];
return false;
}
}
}
var valid0 = _errs12 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
}
}
else {
validate24.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema42.type,parentSchema:schema42,data}];
return false;
}
}
validate24.errors = vErrors;
return errors === 0;
}
validate24.evaluated = {"props":true,"dynamicProps":false,"dynamicItems":false};


function validate20(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate20.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((data.type === undefined) && (missing0 = "type")){
validate20.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema31.required,parentSchema:schema31,data}];
return false;
}
else {
const tag0 = data.type;
if(typeof tag0 == "string"){
if(tag0 === "edit"){
if(!(validate21(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate21.errors : vErrors.concat(validate21.errors);
errors = vErrors.length;
}
var props0 = true;
}
else if(tag0 === "claim"){
if(!(validate22(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate22.errors : vErrors.concat(validate22.errors);
errors = vErrors.length;
}
if(props0 !== true){
props0 = true;
}
}
else if(tag0 === "settle"){
if(!(validate23(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate23.errors : vErrors.concat(validate23.errors);
errors = vErrors.length;
}
if(props0 !== true){
props0 = true;
}
}
else if(tag0 === "retire"){
if(!(validate24(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate24.errors : vErrors.concat(validate24.errors);
errors = vErrors.length;
}
if(props0 !== true){
props0 = true;
}
}
else {
validate20.errors = [{instancePath,schemaPath:"#/discriminator",keyword:"discriminator",params:{error: "mapping", tag: "type", tagValue: tag0},message:"value of tag \"type\" must be in oneOf",schema:schema31.discriminator,parentSchema:schema31,data}];
return false;
}
}
else {
validate20.errors = [{instancePath,schemaPath:"#/discriminator",keyword:"discriminator",params:{error: "tag", tag: "type", tagValue: tag0},message:"tag \"type\" must be string",schema:schema31.discriminator,parentSchema:schema31,data}];
return false;
}
}
}
else {
validate20.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema31.type,parentSchema:schema31,data}];
return false;
}
}
validate20.errors = vErrors;
evaluated0.props = props0;
return errors === 0;
}
validate20.evaluated = {"dynamicProps":true,"dynamicItems":false};

